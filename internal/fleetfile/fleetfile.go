// Package fleetfile reads FLEET.toml: which regions there are, what the members of each run, and which
// conflicts between them are meant. docs/regions.md tells how one is written.
package fleetfile

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"lockflow/internal/config"
	"lockflow/internal/config/tree"
	"lockflow/internal/desiredstate"
)

// Bounds of what a file may say.
const (
	maxRegions    = 1000
	maxMembers    = 20_000 // of all regions
	maxWaivers    = 10_000
	maxFileBytes  = 16 << 20  // bytes of each file
	maxBytes      = 512 << 20 // of all regions' configurations
	maxNameBytes  = 64
	maxSocketPath = 107 // unix(7): sun_path with its end
)

// Name of the list that a change merges by name.
const routesKey = "routes"

// File is a fleet file with all that it names. It is not changed once it is read.
type File struct {
	Path    string
	All     []Region // by name
	Waivers []Waiver // in the file's order
}

// Region is one region.
type Region struct {
	Name      string
	Listeners []string // host:port by which other regions reach it; none is those of its configuration
	Instances int      // the size of the group that its members are told; 0 is what its configuration says
	Members   []Member // in the file's order
	Config    config.Config
	Text      []byte // the whole configuration that its members run
	Hash      string // SHA-256 of the text, in hex

	origins []origin // of its routes
}

// origin is where a route was read.
type origin struct {
	base bool
	line int
}

// Member is one instance.
type Member struct {
	Socket string // its control socket: an absolute path
	Zone   string // "" is unknown
}

// Load reads the file at path and those that it names, which are relative to it. An error is of type
// config.FieldErrors, with every one found.
func Load(path string) (File, error) {
	raw, err := readFile(path)
	if err != nil {
		return File{}, config.FieldErrors{{File: path, Line: 1, Text: err.Error()}}
	}
	return Parse(path, raw, readFile)
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()                                           //nolint:errcheck // only read
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1)) // also of a pipe, which has no size
	if err == nil && len(raw) > maxFileBytes {
		err = fmt.Errorf("reading %s: more than %d bytes", path, maxFileBytes)
	}
	return raw, err
}

// Parse reads a file's text; path is where it stands, and read gives the files that it names.
func Parse(path string, raw []byte, read func(path string) ([]byte, error)) (File, error) {
	var t tree.Reading
	root, ok := t.Parse(path, raw)
	if !ok {
		return File{}, t.Err()
	}
	r := &reader{t: &t, dir: filepath.Dir(path), read: read, texts: make(map[string]text), members: make(map[string]string)}
	f := File{Path: path}
	var base tree.Table
	hasBase := root.Has("base")
	if hasBase {
		base, hasBase = r.document(root, "base")
	}
	names, tables := root.NamedTables("regions")
	switch {
	case len(names) == 0:
		root.Wrong("regions", "there is none")
	case len(names) > maxRegions:
		root.Wrong("regions", "%d are more than %d", len(names), maxRegions)
		return File{}, t.Err()
	}
	onBase := false
	for i, name := range names {
		if !validName(name) {
			tables[i].Wrong("", "%q is no name: letters, digits, '-' and '_', at most %d", name, maxNameBytes)
		}
		onBase = onBase || !tables[i].Has("config")
		f.All = append(f.All, r.region(name, tables[i], root.Has("base"), base, hasBase))
	}
	if root.Has("base") && !onBase && len(names) > 0 {
		root.Wrong("base", "every region has a config of its own: nothing stands on it")
	}
	f.Waivers = waivers(root, names)
	root.Done()
	slices.SortFunc(f.All, func(a, b Region) int { return strings.Compare(a.Name, b.Name) })
	if err := t.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}

// reader holds what regions have in common.
type reader struct {
	t       *tree.Reading
	dir     string
	read    func(string) ([]byte, error)
	texts   map[string]text // files read, by path
	members map[string]string
	bytes   int // of all regions' texts
	wide    bool
}

type text struct {
	raw []byte
	err error
}

// file reads what a key names; relative paths are the fleet file's.
func (r *reader) file(t tree.Table, key string) (path string, raw []byte, ok bool) {
	path = t.Str(key, "")
	if path == "" {
		t.Wrong(key, "it has to name a file")
		return "", nil, false
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(r.dir, path)
	}
	got, known := r.texts[path]
	if !known {
		got.raw, got.err = r.read(path)
		r.texts[path] = got
	}
	if got.err != nil {
		t.Wrong(key, "%v", got.err)
	}
	return path, got.raw, got.err == nil
}

// document reads a file that a key names as a document.
func (r *reader) document(t tree.Table, key string) (doc tree.Table, ok bool) {
	path, raw, ok := r.file(t, key)
	if !ok {
		return doc, false
	}
	return r.t.Parse(path, raw)
}

func (r *reader) region(name string, t tree.Table, basePlanned bool, base tree.Table, hasBase bool) Region {
	one := Region{Name: name, Listeners: t.Texts("listeners"), Instances: int(t.Integer("instances", 0, 1, 1<<20))}
	for _, l := range one.Listeners {
		if host, port, err := net.SplitHostPort(l); err != nil || host == "" || port == "" {
			t.Wrong("listeners", "%q is no host:port", l)
		}
	}
	r.readMembers(name, t, &one)
	hasConfig, change := t.Has("config"), t.Has("change")
	switch {
	case hasConfig && change:
		t.Wrong("change", "not beside config: that is a whole configuration")
		t.Value("config")
		t.Value("change")
	case hasConfig:
		if path, raw, ok := r.file(t, "config"); ok {
			if doc, ok := r.t.Parse(path, raw); ok {
				one.Text = raw
				one.read(doc, "")
			}
		}
	case !basePlanned && change:
		t.Wrong("change", "there is no base that it could change")
		t.Value("change")
	case !basePlanned:
		t.Wrong("config", "it has to be said what its members run")
	case !change && hasBase:
		one.over(t, base.MergeOver(base.Empty(), routesKey), base)
	case change:
		if doc, ok := r.document(t, "change"); ok && hasBase {
			one.over(t, doc.MergeOver(base, routesKey), base)
		}
	}
	t.Done()
	if r.bytes += len(one.Text); r.bytes > maxBytes && !r.wide {
		r.wide = true
		t.Wrong("", "the configurations up to here have %d bytes together, more than %d", r.bytes, maxBytes)
	}
	one.Hash = desiredstate.Hash(one.Text)
	one.Config.Hash = one.Hash
	return one
}

// over reads what a change makes of a base.
func (one *Region) over(t tree.Table, doc, base tree.Table) {
	var err error
	if one.Text, err = doc.Text(); err != nil {
		t.Wrong("change", "%v", err)
	}
	one.read(doc, base.Node().File())
}

// read reads the configuration, and where its routes stand.
func (one *Region) read(doc tree.Table, base string) {
	one.Config = config.Read(doc)
	for _, n := range doc.List(routesKey) {
		one.origins = append(one.origins, origin{base != "" && n.File() == base, n.Line()})
	}
}

// readMembers reads a list of control sockets: paths, or tables of a path and a zone.
func (r *reader) readMembers(name string, t tree.Table, one *Region) {
	zone := t.Str("zone", "")
	for i, n := range t.List("members") {
		m := Member{Zone: zone}
		switch v := n.Value().(type) {
		case string:
			m.Socket = v
		case nil:
			in, ok := t.Item(n, "members", i)
			if !ok {
				continue
			}
			m.Socket, m.Zone = in.Str("socket", ""), in.Str("zone", zone)
			in.Done()
		default:
			t.WrongItem(n, "members", "item %d has to be a path or { socket, zone }", i+1)
			continue
		}
		clean := filepath.Clean(m.Socket)
		switch in, twice := r.members[clean]; {
		case !filepath.IsAbs(m.Socket):
			t.WrongItem(n, "members", "%q is no absolute path", m.Socket)
		case len(m.Socket) > maxSocketPath:
			t.WrongItem(n, "members", "%d bytes are more than the %d that the address of a Unix socket may have", len(m.Socket), maxSocketPath)
		case twice && in == name:
			t.WrongItem(n, "members", "%q is given twice", m.Socket)
		case twice:
			t.WrongItem(n, "members", "%q is a member of region %s too", m.Socket, in)
		case len(r.members) >= maxMembers:
			t.WrongItem(n, "members", "the regions have more than %d members", maxMembers)
			return
		default:
			r.members[clean] = name
			m.Socket = clean
			one.Members = append(one.Members, m)
		}
	}
	if n := t.List("members"); len(n) == 0 {
		t.Wrong("members", "the region is empty")
	}
}

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}) < 0
}
