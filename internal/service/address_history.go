package service

import (
	"time"

	"lockflow/internal/upstream"
)

// addressHistory records which servers have used which addresses, in order to detect that an address has passed from one to
// another. Only the loop's goroutine uses it.
type addressHistory struct {
	users map[string]addressUser
	ended []endedUse // the oldest first
}

// addressUser is the latest server at an address.
type addressUser struct {
	server   uint32
	uid      string
	listedAt time.Time
	endedAt  time.Time // zero while the server uses the address
}

type endedUse struct {
	address string
	endedAt time.Time
}

func newAddressHistory() addressHistory { return addressHistory{users: make(map[string]addressUser)} }

// begin records that a server uses an address. It reports whether another one does, or did so less than
// upstream.IdentityDelay ago, so that its process may still be there. Servers that one message lists at the same address
// share it.
func (h *addressHistory) begin(address string, server uint32, uid string, now time.Time) (isReused bool) {
	h.forgetOld(now)
	previous, isKnown := h.users[address]
	h.users[address] = addressUser{server: server, uid: uid, listedAt: now}
	isShared := previous.endedAt.IsZero() && previous.listedAt.Equal(now)
	return isKnown && previous.uid != uid && !isShared
}

// end records that a server no longer uses an address.
func (h *addressHistory) end(address string, server uint32, now time.Time) {
	h.forgetOld(now)
	user, isKnown := h.users[address]
	if !isKnown || user.server != server {
		return
	}
	user.endedAt = now
	h.users[address] = user
	h.ended = append(h.ended, endedUse{address, now})
}

func (h *addressHistory) forgetOld(now time.Time) {
	n := 0
	for n < len(h.ended) && now.Sub(h.ended[n].endedAt) >= upstream.IdentityDelay {
		use := h.ended[n]
		if h.users[use.address].endedAt.Equal(use.endedAt) {
			delete(h.users, use.address)
		}
		n++
	}
	h.ended = h.ended[n:]
}
