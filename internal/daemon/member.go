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
	file   *desiredstate.File
	book   desiredstate.Book
	kept   bool // the book is written as it is
	doubts *doubts
}

const ordersDoubt = "orders"

// openMember opens the book in a state directory ("" is none); inherited is that of the old process, which
// is read later.
func openMember(dir string, inherited *os.File, d *doubts) (*member, error) {
	f, err := desiredstate.Open(dir, inherited)
	if err != nil {
		return nil, err
	}
	m := &member{file: f, doubts: d}
	if inherited == nil {
		m.load()
	}
	return m, nil
}

// load reads the book. One that can't be read is lost: nobody is obeyed before a claim that says it knows.
func (m *member) load() {
	b, err := m.file.Load()
	if err != nil {
		b = desiredstate.Book{Lost: rand.Text()}
		slog.Error("the book of orders can't be read: no coordinator is obeyed until it claims anew", "err", err)
		m.doubts.add(ordersDoubt, err.Error())
		m.file.SetAside()
		m.book = b
		m.settle(b)
		return
	}
	m.book, m.kept = b, true
	if b.Lost != "" {
		m.doubts.add(ordersDoubt, "the epochs that were granted are lost")
	}
}

// keep has another book count once it is written.
func (m *member) keep(next desiredstate.Book) error {
	if m.kept && reflect.DeepEqual(m.book, next) {
		return nil
	}
	if err := m.file.Save(next); err != nil {
		m.doubts.add(ordersDoubt, err.Error())
		return &desiredstate.RejectedError{Code: desiredstate.Unkept, Text: err.Error()}
	}
	m.book, m.kept = next, true
	if next.Lost == "" {
		m.doubts.clear(ordersDoubt)
	}
	return nil
}

// settle has another book count, of what has happened already. Where it can't be written that is told, and
// a process that finds the one before goes by what it finds done.
func (m *member) settle(next desiredstate.Book) {
	if err := m.keep(next); err != nil {
		slog.Error("what became of an order can't be written", "err", err)
		m.book, m.kept = next, false
	}
}

// claim grants an epoch or refuses.
func (m *member) claim(c desiredstate.Claim) error {
	next, err := m.book.Claim(c)
	if err != nil {
		return err
	}
	granted := next.Epoch != m.book.Epoch
	if err := m.keep(next); err != nil {
		return err
	}
	if granted {
		slog.Info("orders: an epoch is granted", "epoch", next.Epoch, "owner", next.Owner)
	}
	return nil
}

// rest notes by the owner's hand whether the member is to be drained.
func (m *member) rest(drained bool) error {
	if m.file.Forgets() && drained {
		return nil // it is drained; nothing could keep it so
	}
	return m.keep(m.book.Rest(drained))
}

// tell tells the book in a status.
func (m *member) tell(s *manage.Status) {
	s.Epoch, s.Owner, s.Lost, s.Forgets = m.book.Epoch, m.book.Owner, m.book.Lost, m.file.Forgets()
	s.Order, s.Wanted = m.book.Last(), m.book.Wanted
	if d := m.book.Doing; d != nil {
		s.Doing = d.ID
	}
}

// outcome is what is answered to an order that has ended.
func outcome(d desiredstate.Done) error {
	if d.Code == desiredstate.OK {
		return nil
	}
	return &desiredstate.RejectedError{Code: d.Code, Text: d.Error}
}

func busy(format string, args ...any) error {
	return &desiredstate.RejectedError{Code: desiredstate.Busy, Text: fmt.Sprintf(format, args...) + ": ask again"}
}
