// Package fleetfile reads FLEET.toml, the file that describes a fleet: its regions, what the members of each run, and
// which conflicts between them the operator accepts. docs/regions.md documents the format. Package command reads the
// file, and packages fleet and regions work on what it describes.
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

// Limits of a fleet file.
const (
	maxRegions    = 1000
	maxMembers    = 20_000 // of all regions
	maxWaivers    = 10_000
	maxFileBytes  = 16 << 20  // bytes of each file
	maxBytes      = 512 << 20 // of all regions' configurations
	maxNameBytes  = 64
	maxSocketPath = 107 // sun_path of unix(7) without its terminating zero
)

// routesKey is the key of the list whose items a change merges by name instead of replacing the list.
const routesKey = "routes"

// File is a fleet file with the configurations that it names. It is not modified after it is read.
type File struct {
	Path    string
	All     []Region // by name
	Waivers []Waiver // in the file's order
}

// Region is one region.
type Region struct {
	Name      string
	Listeners []string // host:port at which other regions reach it; by default those of its configuration
	Instances int      // group size that its members assume; 0 stands for that of its configuration
	Members   []Member // in the file's order
	Config    config.Config
	Text      []byte // complete configuration of its members
	Hash      string // SHA-256 of Text in hex

	origins []origin // of Config.Routes, by index
}

// origin is the location of a route's definition.
type origin struct {
	isBase bool // in the base, which regions share
	line   int
}

// Member is one instance.
type Member struct {
	Socket string // absolute path of its control socket
	Zone   string // "" is unknown
}

// Load reads the file at path and the files that it names, whose paths are relative to it. An error is a
// config.FieldErrors with all errors found.
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
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1)) // limited while reading, as a pipe has no size
	if err == nil && len(raw) > maxFileBytes {
		err = fmt.Errorf("reading %s: more than %d bytes", path, maxFileBytes)
	}
	return raw, err
}

// Parse reads a fleet file's text. path names it in errors, and read returns the contents of the files that it names.
// Errors are the same as those of Load.
func Parse(path string, raw []byte, read func(path string) ([]byte, error)) (File, error) {
	var t tree.Reading
	root, ok := t.Parse(path, raw)
	if !ok {
		return File{}, t.Err()
	}
	r := &reader{
		tree:    &t,
		dir:     filepath.Dir(path),
		read:    read,
		files:   make(map[string]fileText),
		members: make(map[string]string),
	}
	f := File{Path: path}
	var base tree.Table
	hasBase := root.Has("base")
	if hasBase {
		base, hasBase = r.readDocument(root, "base")
	}
	names, tables := root.NamedTables("regions")
	switch {
	case len(names) == 0:
		root.Errorf("regions", "there is none")
	case len(names) > maxRegions:
		root.Errorf("regions", "%d regions are more than the %d allowed", len(names), maxRegions)
		return File{}, t.Err()
	}
	isBaseUsed := false
	for i, name := range names {
		if !isValidName(name) {
			tables[i].Errorf("", "%q is no name: letters, digits, '-' and '_', at most %d", name, maxNameBytes)
		}
		isBaseUsed = isBaseUsed || !tables[i].Has("config")
		f.All = append(f.All, r.readRegion(name, tables[i], root.Has("base"), base, hasBase))
	}
	if root.Has("base") && !isBaseUsed && len(names) > 0 {
		root.Errorf("base", "every region has a config of its own: the base is not used")
	}
	f.Waivers = readWaivers(root, names)
	root.ReportUnknownKeys()
	slices.SortFunc(f.All, func(a, b Region) int { return strings.Compare(a.Name, b.Name) })
	if err := t.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}

// reader is the state of reading one fleet file.
type reader struct {
	tree       *tree.Reading
	dir        string // of the fleet file
	read       func(string) ([]byte, error)
	files      map[string]fileText // files read, by path
	members    map[string]string   // regions by control socket
	bytes      int                 // of all regions' configurations
	isTooLarge bool                // the limit of bytes is exceeded and reported
}

// fileText is the result of reading a file.
type fileText struct {
	raw []byte
	err error
}

// readFile reads the file that a key names; a relative path starts at the fleet file's directory.
func (r *reader) readFile(t tree.Table, key string) (path string, raw []byte, ok bool) {
	path = t.String(key, "")
	if path == "" {
		t.Errorf(key, "it has to be the path of a file")
		return "", nil, false
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(r.dir, path)
	}
	file, isRead := r.files[path]
	if !isRead {
		file.raw, file.err = r.read(path)
		r.files[path] = file
	}
	if file.err != nil {
		t.Errorf(key, "%v", file.err)
	}
	return path, file.raw, file.err == nil
}

// readDocument reads and parses the file that a key names.
func (r *reader) readDocument(t tree.Table, key string) (doc tree.Table, ok bool) {
	path, raw, ok := r.readFile(t, key)
	if !ok {
		return doc, false
	}
	return r.tree.Parse(path, raw)
}

// readRegion reads one region. hasBaseKey means that the file names a base, and hasBase that it could be read.
func (r *reader) readRegion(name string, t tree.Table, hasBaseKey bool, base tree.Table, hasBase bool) Region {
	region := Region{Name: name, Listeners: t.Strings("listeners"), Instances: int(t.Integer("instances", 0, 1, 1<<20))}
	for _, l := range region.Listeners {
		if host, port, err := net.SplitHostPort(l); err != nil || host == "" || port == "" {
			t.Errorf("listeners", "%q is no host:port", l)
		}
	}
	r.readMembers(name, t, &region)
	hasConfig := t.Has("config")
	hasChange := t.Has("change")
	switch {
	case hasConfig && hasChange:
		t.Errorf("change", "not beside config, which is a complete configuration")
		t.Value("config")
		t.Value("change")
	case hasConfig:
		if path, raw, ok := r.readFile(t, "config"); ok {
			if doc, ok := r.tree.Parse(path, raw); ok {
				region.Text = raw
				region.readConfig(doc, "")
			}
		}
	case !hasBaseKey && hasChange:
		t.Errorf("change", "there is no base to apply it to")
		t.Value("change")
	case !hasBaseKey:
		t.Errorf("config", "it has to be said what its members run: neither a config nor a base is given")
	case !hasChange && hasBase:
		region.setMerged(t, base.MergeOver(base.Empty(), routesKey), base)
	case hasChange:
		if doc, ok := r.readDocument(t, "change"); ok && hasBase {
			region.setMerged(t, doc.MergeOver(base, routesKey), base)
		}
	}
	t.ReportUnknownKeys()
	r.bytes += len(region.Text)
	if r.bytes > maxBytes && !r.isTooLarge {
		r.isTooLarge = true
		t.Errorf("", "the configurations up to this region's have %d bytes in total, more than the %d allowed", r.bytes, maxBytes)
	}
	region.Hash = desiredstate.Hash(region.Text)
	region.Config.Hash = region.Hash
	return region
}

// setMerged sets the region's configuration to doc, a base with a change merged into it.
func (region *Region) setMerged(t tree.Table, doc, base tree.Table) {
	var err error
	if region.Text, err = doc.Text(); err != nil {
		t.Errorf("change", "%v", err)
	}
	region.readConfig(doc, base.Node().File())
}

// readConfig reads the configuration and the origins of its routes. base is the path of the base, or "".
func (region *Region) readConfig(doc tree.Table, base string) {
	region.Config = config.Read(doc)
	for _, n := range doc.List(routesKey) {
		region.origins = append(region.origins, origin{base != "" && n.File() == base, n.Line()})
	}
}

// readMembers reads the members of a region, a list of control sockets.
func (r *reader) readMembers(regionName string, t tree.Table, region *Region) {
	zone := t.String("zone", "")
	for i, n := range t.List("members") {
		m, ok := readMember(t, n, i, zone)
		if !ok {
			continue
		}
		socket := filepath.Clean(m.Socket)
		switch other, isKnown := r.members[socket]; {
		case !filepath.IsAbs(m.Socket):
			t.ItemErrorf(n, "members", "%q is no absolute path", m.Socket)
		case len(m.Socket) > maxSocketPath:
			t.ItemErrorf(n, "members", "%d bytes are more than the %d that the address of a Unix socket may have", len(m.Socket), maxSocketPath)
		case isKnown && other == regionName:
			t.ItemErrorf(n, "members", "%q is given twice", m.Socket)
		case isKnown:
			t.ItemErrorf(n, "members", "%q is a member of region %s too", m.Socket, other)
		case len(r.members) >= maxMembers:
			t.ItemErrorf(n, "members", "the regions have more than %d members", maxMembers)
			return
		default:
			r.members[socket] = regionName
			m.Socket = socket
			region.Members = append(region.Members, m)
		}
	}
	if n := t.List("members"); len(n) == 0 {
		t.Errorf("members", "the region is empty")
	}
}

// readMember reads an item of the list of members: a path, or a table of a path and a zone.
func readMember(t tree.Table, n *tree.Node, i int, zone string) (Member, bool) {
	switch value := n.Value().(type) {
	case string:
		return Member{Socket: value, Zone: zone}, true
	case nil:
		item, ok := t.Item(n, "members", i)
		if !ok {
			return Member{}, false
		}
		m := Member{Socket: item.String("socket", ""), Zone: item.String("zone", zone)}
		item.ReportUnknownKeys()
		return m, true
	}
	t.ItemErrorf(n, "members", "item %d has to be a path or { socket, zone }", i+1)
	return Member{}, false
}

// isValidName reports whether a name consists of letters, digits, '-' and '_', and has at most maxNameBytes.
func isValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, isInvalidInName)
}

// isInvalidInName reports whether a character is not allowed in a name.
func isInvalidInName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return r != '-' && r != '_'
}
