package daemon

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"os"
	"reflect"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
)

// member is what this process knows of who may order and what was ordered. One goroutine uses it.
type member struct {
	store      *desiredstate.File
	book       desiredstate.Book
	isSaved    bool // the book is written as it is
	conditions *degradedConditions
}

const conditionOrders = "orders"

// openMember opens the book in a state directory ("" is none); inherited is that of the old process, which
// is read later.
func openMember(dir string, inherited *os.File, d *degradedConditions) (*member, error) {
	f, err := desiredstate.Open(dir, inherited)
	if err != nil {
		return nil, err
	}
	m := &member{store: f, conditions: d}
	if inherited == nil {
		m.load()
	}
	return m, nil
}

// load reads the book. One that can't be read is lost: nobody is obeyed before a claim that says it knows.
func (m *member) load() {
	b, err := m.store.Load()
	if err != nil {
		b = desiredstate.Book{Lost: rand.Text()}
		slog.Error("the book of orders can't be read: no coordinator is obeyed until it claims anew", "err", err)
		m.conditions.add(conditionOrders, err.Error())
		m.store.SetAside()
		m.book = b
		m.record(b)
		return
	}
	m.book, m.isSaved = b, true
	if b.Lost != "" {
		m.conditions.add(conditionOrders, "the epochs that were granted are lost")
	}
}

// save has another book count once it is written.
func (m *member) save(next desiredstate.Book) error {
	if m.isSaved && reflect.DeepEqual(m.book, next) {
		return nil
	}
	if err := m.store.Save(next); err != nil {
		m.conditions.add(conditionOrders, err.Error())
		return &desiredstate.RejectedError{Code: desiredstate.Unkept, Text: err.Error()}
	}
	m.book, m.isSaved = next, true
	if next.Lost == "" {
		m.conditions.clear(conditionOrders)
	}
	return nil
}

// record has another book count, of what has happened already. Where it can't be written that is told, and
// a process that finds the one before goes by what it finds done.
func (m *member) record(next desiredstate.Book) {
	if err := m.save(next); err != nil {
		slog.Error("what became of an order can't be written", "err", err)
		m.book, m.isSaved = next, false
	}
}

// grantEpoch grants an epoch or refuses.
func (m *member) grantEpoch(c desiredstate.Claim) error {
	next, err := m.book.Claim(c)
	if err != nil {
		return err
	}
	granted := next.Epoch != m.book.Epoch
	if err := m.save(next); err != nil {
		return err
	}
	if granted {
		slog.Info("orders: an epoch is granted", "epoch", next.Epoch, "owner", next.Owner)
	}
	return nil
}

// setDrained notes by the owner's hand whether the member is to be drained.
func (m *member) setDrained(drained bool) error {
	if m.store.Forgets() && drained {
		return nil // it is drained; nothing could keep it so
	}
	return m.save(m.book.Rest(drained))
}

// addStatus tells the book in a status.
func (m *member) addStatus(s *manage.Status) {
	s.Epoch, s.Owner, s.Lost, s.Forgets = m.book.Epoch, m.book.Owner, m.book.Lost, m.store.Forgets()
	s.Order, s.Wanted = m.book.Last(), m.book.Wanted
	if d := m.book.Doing; d != nil {
		s.Doing = d.ID
	}
}

// outcomeError is what is answered to an order that has ended.
func outcomeError(d desiredstate.Done) error {
	if d.Code == desiredstate.OK {
		return nil
	}
	return &desiredstate.RejectedError{Code: d.Code, Text: d.Error}
}

func busyError(format string, args ...any) error {
	return &desiredstate.RejectedError{Code: desiredstate.Busy, Text: fmt.Sprintf(format, args...) + ": ask again"}
}
