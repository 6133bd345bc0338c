package script

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// String returns the script in the form that Parse reads: a header line, then a line for each fault.
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

// maxTextBytes is the maximum size of a script's text.
const maxTextBytes = 1 << 20

// Parse reads a script in the form of Script.String. Empty lines and comments, which begin with #,
// are ignored. An error names the line.
func Parse(text string) (Script, error) {
	var s Script
	if len(text) > maxTextBytes {
		return s, fmt.Errorf("script has %d bytes, the maximum is %d", len(text), maxTextBytes)
	}
	hasHeader := false
	lineNumber := 0
	for line := range strings.Lines(text) {
		lineNumber++
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		var err error
		if !hasHeader {
			hasHeader = true
			err = s.parseHeader(words)
		} else {
			err = s.addEntry(words)
		}
		if err != nil {
			return Script{}, fmt.Errorf("line %d: %w", lineNumber, err)
		}
	}
	if !hasHeader {
		return s, fmt.Errorf("line %d: missing header %s", lineNumber, headerForm)
	}
	s.sort()
	return s, nil
}

// headerForm is the form of a script's header line, for errors.
const headerForm = "faults seed=.. links=.. procs=.. for=.."

// parseHeader parses the header line.
func (s *Script) parseHeader(words []string) (err error) {
	if words[0] != "faults" || len(words) != 5 {
		return fmt.Errorf("header %q is not of the form %s", strings.Join(words, " "), headerForm)
	}
	for i, key := range []string{"seed", "links", "procs", "for"} {
		name, value, _ := strings.Cut(words[i+1], "=")
		if name != key {
			return fmt.Errorf("got %q, want %s=", words[i+1], key)
		}
		switch key {
		case "seed":
			s.Seed, err = strconv.ParseUint(value, 10, 64)
		case "links":
			s.Links, err = strconv.Atoi(value)
		case "procs":
			s.Procs, err = strconv.Atoi(value)
		case "for":
			s.For, err = time.ParseDuration(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return Script{Links: s.Links, Procs: s.Procs, For: s.For}.Check()
}

// addEntry parses and checks the line of one fault.
func (s *Script) addEntry(words []string) error {
	e, err := parseEntry(words)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, e)
	// Checked here rather than at the end, so that the error names the line.
	return Script{Links: s.Links, Procs: s.Procs, For: s.For, Entries: []Entry{e}}.Check()
}

// parseEntry parses the line of one fault.
func parseEntry(words []string) (e Entry, err error) {
	if len(words) < 4 || words[0] != "link" && words[0] != "proc" {
		return e, fmt.Errorf("%q is not of the form: link or proc, index, from..to, fault", strings.Join(words, " "))
	}
	if e.On, err = strconv.Atoi(words[1]); err != nil {
		return e, err
	}
	from, to, isRange := strings.Cut(words[2], "..")
	if !isRange {
		return e, fmt.Errorf("%q is not of the form from..to", words[2])
	}
	if e.From, err = time.ParseDuration(from); err != nil {
		return e, err
	}
	if e.To, err = time.ParseDuration(to); err != nil {
		return e, err
	}
	if e.Kind = index(kindNames[:], words[3], kinds); e.Kind == kinds || e.Kind.OfLink() != (words[0] == "link") {
		return e, fmt.Errorf("%s has no fault of kind %q", words[0], words[3])
	}
	err = e.parseParameters(words[4:])
	return e, err
}

// parseParameters parses the words after the fault's kind: its direction and its numeric parameter, if any.
func (f *Fault) parseParameters(words []string) (err error) {
	if f.Kind.directed() {
		if len(words) == 0 {
			return fmt.Errorf("%v needs a direction: both, forth or back", f.Kind)
		}
		if f.Direction = index(directionNames[:], words[0], Back+1); f.Direction > Back {
			return fmt.Errorf("direction %q is none of both, forth, back", words[0])
		}
		words = words[1:]
	}
	wantedFigures := 0
	switch f.Kind {
	case Late, Slow, Reset, Clock:
		wantedFigures = 1
	}
	if len(words) != wantedFigures {
		return fmt.Errorf("%v has %d numeric parameters, not %d", f.Kind, wantedFigures, len(words))
	}
	switch f.Kind {
	case Late, Clock:
		f.Delay, err = time.ParseDuration(words[0])
	case Slow:
		f.Rate, err = strconv.Atoi(words[0])
	case Reset:
		f.Bytes, err = strconv.Atoi(words[0])
	}
	return err
}

// index returns the index of a name, or none if it is not in the list.
func index[T ~uint8](names []string, name string, none T) T {
	for i, n := range names {
		if n == name {
			return T(i)
		}
	}
	return none
}
