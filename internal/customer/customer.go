// Package customer says whose request an ordinary one is: by which of its fields, what plan that
// customer has, and how many that were never seen before are kept apart. It decides with the time
// as an argument; only Book.Follow reads a file.
package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lockflow/internal/hopheaders"
)

// Anonymous is the customer of a request that names none.
const Anonymous = "anonymous"

const (
	maxNameBytes    = 256         // bytes of a name; a longer one is hashed
	unknownIdleTime = time.Minute // after which a stranger's place may go to another
	overflowBuckets = 64          // customers that those share for whom there is no place
)

// Kind is where a request names its customer.
type Kind int

// The kinds.
const (
	Header Kind = iota
	Query
	Cookie
	Address // of the client; of IPv6 the network of 64 bits
)

// Identifier is one way to tell a request's customer.
type Identifier struct {
	Kind Kind
	Name string // of the header, parameter or cookie
	// IsSecret has a hash of the value be the customer's name, for values such as keys that must
	// not be kept or shown.
	IsSecret bool
}

// nameOf is the name that a request gives by this way; "" is none.
func (w Identifier) nameOf(r *http.Request, client func() netip.Addr) string {
	v := ""
	switch w.Kind {
	case Header:
		v = r.Header.Get(w.Name)
	case Query:
		// A value that stands twice could be read as either by the server.
		if strings.Contains(r.URL.RawQuery, w.Name) || strings.Contains(r.URL.RawQuery, "%") {
			if q, err := url.ParseQuery(r.URL.RawQuery); err == nil && len(q[w.Name]) == 1 {
				v = q[w.Name][0]
			}
		}
	case Cookie:
		if c, err := r.Cookie(w.Name); err == nil {
			v = c.Value
		}
	case Address:
		a := client()
		if a.Is6() {
			p, _ := a.Prefix(64)
			return p.String()
		}
		return a.String()
	}
	if v != "" && (w.IsSecret || len(v) > maxNameBytes) {
		return HashedName(v)
	}
	return v
}

// HashedName is the name of a customer whose value in a request must not be kept or shown.
func HashedName(value string) string {
	sum := sha256.Sum256([]byte(value))
	return "sha256:" + hex.EncodeToString(sum[:16])
}

// Options are how a service's customers are told.
type Options struct {
	Identifiers    []Identifier // the first that gives a name counts
	File           string
	DefaultPlan    string // of whoever the file does not name
	MaxUnknown     int    // most that the file does not name and that are kept apart
	TrustedProxies []netip.Prefix
}

// Directory tells requests' customers. It is safe for concurrent use.
type Directory struct {
	Options
	plans      planTable
	loadedFile os.FileInfo // of the file that was loaded last

	mu      sync.Mutex
	unknown *simplelru.LRU[string, time.Time] // when each was seen last
}

// New makes a book that has not read its file yet.
func New(o Options) *Directory {
	b := &Directory{Options: o}
	if o.MaxUnknown > 0 {
		b.unknown, _ = simplelru.NewLRU[string, time.Time](o.MaxUnknown, nil) // an error is a size of 0
	}
	return b
}

// Identify is a request's customer and its plan.
func (b *Directory) Identify(r *http.Request, now time.Time) (name, plan string) {
	for _, w := range b.Identifiers {
		if name = w.nameOf(r, func() netip.Addr { return b.clientAddr(r) }); name != "" {
			break
		}
	}
	if name == "" {
		return Anonymous, b.DefaultPlan
	}
	if plan, ok := b.plans.planOf(name); ok {
		return name, plan
	}
	return b.nameOfUnknown(name, now), b.DefaultPlan
}

func (b *Directory) clientAddr(r *http.Request) netip.Addr {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.IPv4Unspecified()
	}
	return hopheaders.ClientAddr(r.Header, peer.Addr(), b.TrustedProxies)
}

// nameOfUnknown is the customer that counts for a name that the file does not have: itself while there
// is a place for it, else one that it shares. Guards against a flood of invented names that would
// fill the memory of all that is kept for a customer.
func (b *Directory) nameOfUnknown(name string, now time.Time) string {
	if b.unknown == nil {
		return overflowName(name)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.unknown.Get(name); !known && b.unknown.Len() >= b.MaxUnknown {
		if _, seen, ok := b.unknown.GetOldest(); ok && now.Sub(seen) < unknownIdleTime {
			return overflowName(name)
		}
	}
	b.unknown.Add(name, now)
	return name
}

func overflowName(name string) string {
	return "crowd-" + strconv.FormatUint(xxhash.Sum64String(name)%overflowBuckets, 10)
}
