// Package naming finds declared names that contain a plain word for which docs/glossary.md has a term of
// the field. Its test fails if a package declares one. Only tests use it.
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

// plainWords maps everyday words, in lower case, that were used for concepts with a usual name in the
// field to their terms in docs/glossary.md.
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
	// Pronouns, adverbs and verbs in place of a noun that names the item.
	"come": "arrived, received", "came": "arrived, received", "comes": "arrives",
	"way": "direction, kind", "ways": "options", "lingers": "half-life of late results", "ahead": "margin, lead time",
	"once": "the event that is awaited", "look": "evaluation", "looks": "evaluations", "looked": "last evaluated",
	"took": "duration", "seen": "observed, visited", "saw": "observed", "who": "client, holder", "whose": "owner",
	"ours": "local", "our": "local", "mine": "local", "theirs": "remote", "heard": "status reply", "hear": "receive",
	"patience": "maximum queue time", "said": "output, reported", "say": "report", "tell": "report, notify", "tells": "reports",
	"begun": "started, sent", "circle": "cycle", "circling": "cyclic", "passing": "transient", "unsure": "incomplete",
	"sweep": "rollback pass", "again": "retry, repeat", "let": "admit", "lets": "admits", "within": "timeout",
	"lasts": "duration", "doubtful": "degraded", "doubting": "degraded", "standins": "fakes", "taps": "captures",
	"ground": "fixture", "young": "recently started", "wary": "cautious", "wild": "out of range", "mild": "minor",
	"milder": "less severe", "dear": "costly", "deaf": "partitioned", "mute": "unresponsive", "luck": "chance of",
	"liar": "misreporting", "lie": "misreport", "spoken": "protocol", "spoilt": "corrupt", "fallen": "overloaded",
	"goes": "direction", "nowhere": "no destination", "everywhere": "all", "wander": "random walk", "bystand": "unaffected",
	"befall": "fault", "beside": "concurrent", "beyond": "above, excess", "people": "clients", "thing": "item",
	"things": "items", "voice": "report", "voices": "reports", "dose": "intensity", "meets": "intersects",
	"bears": "capacity", "alike": "equal", "apart": "distance, separate", "lately": "recent", "gives": "result",
	"knows": "has, known", "holds": "contains, satisfied", "stays": "remains", "speaks": "protocol", "carries": "contains",
}

// allowedNames are names in which a plain word has its usual meaning in Go or in the field.
var allowedNames = map[string]bool{
	// Values of type sync.Once, and functions with an effect at most once.
	"once": true, "closeOnce": true, "abortOnce": true, "doOnce": true, "endOnce": true, "releaseOnce": true, "killOnce": true,
	// "Take over" is the term for a successor that assumes its predecessor's role.
	"SuccessorTookOver": true, "successorTookOver": true, "messageTookOver": true, "neverTookOver": true, "TookOver": true,
}

// Finding is a declared name that contains a plain word.
type Finding struct {
	Position token.Position
	Name     string
	Word     string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s holds %q: %s", f.Position, f.Name, f.Word, plainWords[f.Word])
}

// Check returns the findings in the Go files of directory, except tests, ordered by position.
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

// Packages returns the directories below root that contain Go files, relative to root and sorted.
func Packages(root string) ([]string, error) {
	hasGoFiles := map[string]bool{}
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
			hasGoFiles[filepath.ToSlash(directory)] = true
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("walking %s: %w", root, err)
	}
	var directories []string
	for directory := range hasGoFiles {
		directories = append(directories, directory)
	}
	sort.Strings(directories)
	return directories, nil
}

// declared returns the names that file declares at package level and in functions: constants, variables,
// types, functions, fields, parameters and results.
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

// plainWord returns the first plain word in a Go name, or the empty string.
func plainWord(name string) string {
	if allowedNames[name] {
		return ""
	}
	for _, word := range splitWords(name) {
		if _, ok := plainWords[word]; ok {
			return word
		}
	}
	return ""
}

// splitWords splits a name at capitals and underscores, and returns its words in lower case: "maxAttemptsHTTP2" is max, attempts, http2.
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

// startsWord reports whether a word starts at index i: at a capital after a character that is not one, or at
// the last of several capitals if a lower-case letter follows.
func startsWord(letters []rune, i int) bool {
	if !unicode.IsUpper(letters[i]) {
		return false
	}
	if !unicode.IsUpper(letters[i-1]) {
		return true
	}
	return i+1 < len(letters) && unicode.IsLower(letters[i+1])
}
