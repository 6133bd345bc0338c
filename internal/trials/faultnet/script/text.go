package script

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// String is the script as Parse reads it: a line of the whole, then one for each fault.
//
//	faults seed=7 links=2 procs=1 for=4s
//	link 0 120ms..900ms cut back
//	link 1 0s..2s late both 35ms
//	proc 0 300ms..800ms kill
func (s Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "faults seed=%d links=%d procs=%d for=%v\n", s.Seed, s.Links, s.Procs, s.For)
	for _, e := range s.Entries {
		fmt.Fprintln(&b, e)
	}
	return b.String()
}

func (e Entry) String() string {
	place := "proc"
	if e.Kind.OfLink() {
		place = "link"
	}
	return fmt.Sprintf("%s %d %v..%v %v", place, e.On, e.From, e.To, e.Fault)
}

func (f Fault) String() string {
	text := f.Kind.String()
	if f.Kind.directed() {
		text += " " + f.Direction.String()
	}
	switch f.Kind {
	case Late, Clock:
		text += " " + f.Delay.String()
	case Slow:
		text += " " + strconv.Itoa(f.Rate)
	case Reset:
		text += " " + strconv.Itoa(f.Bytes)
	}
	return text
}

// maxTextBytes bounds what Parse reads.
const maxTextBytes = 1 << 20

// Parse reads a script that String has printed, or that was written by hand; empty lines and what
// follows a # don't count. An error names the line.
func Parse(text string) (Script, error) {
	var s Script
	if len(text) > maxTextBytes {
		return s, fmt.Errorf("a script of %d bytes, %d are allowed", len(text), maxTextBytes)
	}
	headed := false
	n := 0
	for line := range strings.Lines(text) {
		n++
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		var err error
		if !headed {
			headed, err = true, s.head(words)
		} else {
			var e Entry
			if e, err = entry(words); err == nil {
				s.Entries = append(s.Entries, e)
				// The place of a fault that is off is told here, where the line is known.
				err = Script{Links: s.Links, Procs: s.Procs, For: s.For, Entries: []Entry{e}}.Check()
			}
		}
		if err != nil {
			return Script{}, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if !headed {
		return s, fmt.Errorf("line %d: no %s", n, headForm)
	}
	s.sort()
	return s, nil
}

// headForm is how a script begins.
const headForm = "faults seed=.. links=.. procs=.. for=.."

func (s *Script) head(words []string) (err error) {
	if words[0] != "faults" || len(words) != 5 {
		return fmt.Errorf("%q is not %s", strings.Join(words, " "), headForm)
	}
	for i, key := range []string{"seed", "links", "procs", "for"} {
		k, v, _ := strings.Cut(words[i+1], "=")
		if k != key {
			return fmt.Errorf("%q instead of %s=", words[i+1], key)
		}
		switch key {
		case "seed":
			s.Seed, err = strconv.ParseUint(v, 10, 64)
		case "links":
			s.Links, err = strconv.Atoi(v)
		case "procs":
			s.Procs, err = strconv.Atoi(v)
		case "for":
			s.For, err = time.ParseDuration(v)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return Script{Links: s.Links, Procs: s.Procs, For: s.For}.Check()
}

func entry(words []string) (e Entry, err error) {
	if len(words) < 4 || words[0] != "link" && words[0] != "proc" {
		return e, fmt.Errorf("%q is not link or proc, number, from..to, fault", strings.Join(words, " "))
	}
	if e.On, err = strconv.Atoi(words[1]); err != nil {
		return e, err
	}
	from, to, two := strings.Cut(words[2], "..")
	if !two {
		return e, fmt.Errorf("%q is not from..to", words[2])
	}
	if e.From, err = time.ParseDuration(from); err != nil {
		return e, err
	}
	if e.To, err = time.ParseDuration(to); err != nil {
		return e, err
	}
	if e.Kind = index(kindNames[:], words[3], kinds); e.Kind == kinds || e.Kind.OfLink() != (words[0] == "link") {
		return e, fmt.Errorf("a %s has no fault %q", words[0], words[3])
	}
	rest := words[4:]
	if e.Kind.directed() {
		if len(rest) == 0 {
			return e, fmt.Errorf("%v needs a way: both, forth or back", e.Kind)
		}
		if e.Direction = index(directionNames[:], rest[0], Back+1); e.Direction > Back {
			return e, fmt.Errorf("%q is none of both, forth, back", rest[0])
		}
		rest = rest[1:]
	}
	wantedFigures := 0
	if e.Kind == Late || e.Kind == Slow || e.Kind == Reset || e.Kind == Clock {
		wantedFigures = 1
	}
	if len(rest) != wantedFigures {
		return e, fmt.Errorf("%v takes %d figures, not %d", e.Kind, wantedFigures, len(rest))
	}
	switch e.Kind {
	case Late, Clock:
		e.Delay, err = time.ParseDuration(rest[0])
	case Slow:
		e.Rate, err = strconv.Atoi(rest[0])
	case Reset:
		e.Bytes, err = strconv.Atoi(rest[0])
	}
	return e, err
}

func index[T ~uint8](names []string, name string, none T) T {
	for i, n := range names {
		if n == name {
			return T(i)
		}
	}
	return none
}
