// Package naming finds declared names that hold a plain word where docs/glossary.md has a term of the
// field. Its test holds the packages that are finished to none of them, and all others to the number
// that they have, so that it only falls. Only tests use it.
package naming

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"unicode"
)

// plainWords are the words, in lower case, that stand for a known concept elsewhere. Each leads to its
// term in docs/glossary.md.
var plainWords = map[string]string{
	"told": "notified, reported", "whole": "complete", "trouble": "fault", "troubles": "fault",
	"worth": "priority weight", "aside": "ejected", "further": "retry", "aim": "latency objective",
	"book": "accounting", "books": "accounting", "room": "capacity", "held": "reserved, in flight, cached",
	"kept": "cached", "most": "max, limit", "least": "min", "carry": "error diffusion", "chance": "probability",
	"ceiling": "hard limit", "ghost": "abandoned attempt", "ghosts": "abandoned attempts", "strike": "failure",
	"strikes": "consecutive failures", "yields": "sheddable", "odd": "outlier", "others": "remote usage",
	"elsewhere": "remote", "ask": "poll", "asks": "polls", "asked": "polled", "asking": "polling", "undraw": "refund",
	"keyed": "idempotency key", "thrown": "ejected", "news": "watch event", "pinned": "sticky", "cold": "warming up",
	"fading": "draining", "wishes": "desired state", "wants": "desired state", "pledge": "reservation",
	"pledges": "reservations", "lender": "lease store", "allowance": "quota lease", "census": "group size",
	"ledger": "rollout log", "tally": "event log", "standin": "fake", "stranger": "unknown client",
	"strangers": "unknown clients", "crowd": "overflow bucket", "fate": "stream outcome", "fates": "stream outcomes",
	"doubt": "degraded condition", "doubts": "degraded conditions", "moot": "not sent",
}

// Finding is one declared name that holds a plain word.
type Finding struct {
	Position token.Position
	Name     string
	Word     string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s holds %q: %s", f.Position, f.Name, f.Word, plainWords[f.Word])
}

// Check returns the findings in the Go files of directory that are no tests, by position.
func Check(directory string) ([]Finding, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		return nil, fmt.Errorf("listing Go files of %s: %w", directory, err)
	}
	var findings []Finding
	positions := token.NewFileSet()
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		source, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("reading %s: %w", name, err)
		}
		file, err := parser.ParseFile(positions, name, source, parser.SkipObjectResolution)
		if err != nil {
			return nil, fmt.Errorf("parsing %s: %w", name, err)
		}
		for _, identifier := range declared(file) {
			if word := plainWord(identifier.Name); word != "" {
				findings = append(findings, Finding{positions.Position(identifier.Pos()), identifier.Name, word})
			}
		}
	}
	return findings, nil
}

// Packages returns the directories below root that hold Go files, relative to it and sorted.
func Packages(root string) ([]string, error) {
	seen := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "testdata" || entry.Name() == "bin") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") {
			directory, err := filepath.Rel(root, filepath.Dir(path))
			if err != nil {
				return err
			}
			seen[filepath.ToSlash(directory)] = true
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("walking %s: %w", root, err)
	}
	var directories []string
	for directory := range seen {
		directories = append(directories, directory)
	}
	sort.Strings(directories)
	return directories, nil
}

// declared returns the names that file declares: packages' and functions' constants, variables, types,
// functions, fields, parameters and results.
func declared(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	add := func(expression ast.Expr) {
		if identifier, ok := expression.(*ast.Ident); ok {
			names = append(names, identifier)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			names = append(names, node.Name)
		case *ast.TypeSpec:
			names = append(names, node.Name)
		case *ast.ValueSpec:
			names = append(names, node.Names...)
		case *ast.Field:
			names = append(names, node.Names...)
		case *ast.AssignStmt:
			if node.Tok == token.DEFINE {
				for _, left := range node.Lhs {
					add(left)
				}
			}
		case *ast.RangeStmt:
			if node.Tok == token.DEFINE {
				add(node.Key)
				add(node.Value)
			}
		}
		return true
	})
	return names
}

// plainWord returns the first plain word in a name in Go's case, or nothing.
func plainWord(name string) string {
	for _, word := range splitWords(name) {
		if _, ok := plainWords[word]; ok {
			return word
		}
	}
	return ""
}

// splitWords splits a name at its capitals: "maxAttemptsHTTP2" is max, attempts, http2.
func splitWords(name string) []string {
	var words []string
	letters := []rune(name)
	start := 0
	for i := 1; i <= len(letters); i++ {
		atEnd := i == len(letters)
		if atEnd || letters[i] == '_' || startsWord(letters, i) {
			words = append(words, strings.ToLower(strings.Trim(string(letters[start:i]), "_")))
			start = i
		}
	}
	return words
}

// startsWord tells whether a word starts at index i: at a capital behind a small letter, or at the last
// capital of a run that a small letter follows.
func startsWord(letters []rune, i int) bool {
	if !unicode.IsUpper(letters[i]) {
		return false
	}
	if !unicode.IsUpper(letters[i-1]) {
		return true
	}
	return i+1 < len(letters) && unicode.IsLower(letters[i+1])
}
