package config

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/config/tree"
	"lockflow/internal/desiredstate"
	"lockflow/internal/shortage"
)

// Bounds of what a file may say.
const (
	maxFileBytes = desiredstate.MaxSettingsBytes
	maxServices  = 5000
	day          = 24 * time.Hour
	maxNumber    = 1e9
	maxCount     = 1 << 20
	maxBytes     = 1 << 40
	maxBodyBytes = 16 << 20

	maxSocketPath    = 107 // unix(7): sun_path with its end
	maxResponseBytes = 16 << 20
)

// maxReadTime is for how long reading a file outlasts a shortage. A platform's node has to follow a new discovery within
// 4 s of its signal.
const maxReadTime = 3 * time.Second

// Inherited begins an address that names a socket which the supervisor passes on.
const Inherited = "systemd:"

// Load reads a file of our own form at path. An error is of type FieldErrors, with every one
// found, or tells why the file can't be read.
func Load(path string) (Config, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		err = fmt.Errorf("%d bytes are more than %d", info.Size(), int64(maxFileBytes))
	}
	if err != nil {
		return Config{}, fmt.Errorf("reading the configuration: %w", err)
	}
	raw, err := readFile(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(path, raw)
}

// readFile reads a configuration's file, and outlasts a shortage of descriptors or memory: a start or a reload would
// fail for it that nobody repeats.
func readFile(path string) (raw []byte, err error) {
	err = shortage.Retry(context.Background(), maxReadTime, shortage.OfResources, func() (err error) {
		raw, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return raw, nil
}

// Parse reads a file's text; name is told in errors, which are of type FieldErrors.
func Parse(name string, raw []byte) (Config, error) {
	var r tree.Reading
	var c Config
	if t, ok := r.Parse(name, raw); ok {
		c = Read(t)
	}
	if err := r.Err(); err != nil {
		return Config{}, err
	}
	c.Hash = desiredstate.Hash(raw)
	return c, nil
}

// reader holds what further parts of a file refer to.
type reader struct {
	classes         map[string]control.Class
	plans           map[string]control.Plan
	group           struct{ size, index int }
	counterNames    map[string]bool // names at counters
	defaultProtocol int             // the protocol of services that name none, among protocols
}

// Read reads a document. What it gives is of use only where the document's reading has no problem.
func Read(t tree.Table) Config {
	r := &reader{classes: map[string]control.Class{}, plans: map[string]control.Plan{}, counterNames: map[string]bool{}}
	var c Config
	r.defaultProtocol = t.OneOf("protocol", protocols...)
	process := t.Sub("process")
	c.Process = r.readProcess(process)
	c.Listeners = r.readListeners(t)
	if t.Has("metrics") {
		m := t.Sub("metrics")
		c.Metrics = m.String("address", "")
		checkAddress(m, "address", c.Metrics)
		m.Done()
	}
	classNames, classes := t.NamedTables("classes")
	for i, k := range classNames {
		r.classes[k] = readClass(k, classes[i])
	}
	planNames, plans := t.NamedTables("plans")
	for i, p := range planNames {
		r.plans[p] = readPlan(p, plans[i])
	}
	names, services := t.NamedTables("services")
	if len(names) == 0 {
		t.Errorf("services", "there is none")
	}
	if len(names) > maxServices {
		t.Errorf("services", "%d are more than %d", len(names), maxServices)
	}
	names, services = r.splitGathers(&c, names, services)
	for i, name := range names {
		c.Services = append(c.Services, r.readService(name, services[i], classNames, planNames))
	}
	r.divideResources(process, &c, services)
	r.readRoutes(t, &c)
	t.Done()
	return c
}

// readPath reads the place of a file: a whole one, as a daemon's own directory is nobody's concern.
func readPath(t tree.Table, key string) string {
	v := t.String(key, "")
	if v != "" && !filepath.IsAbs(v) {
		t.Errorf(key, "%q is no absolute path", v)
	}
	return v
}

func (r *reader) readListeners(t tree.Table) []string {
	var all []string
	for _, l := range t.Tables("listeners") {
		addr := l.String("address", "")
		if name, inherited := strings.CutPrefix(addr, Inherited); !inherited {
			checkAddress(l, "address", addr)
		} else if name == "" {
			l.Errorf("address", "%q names no socket that the supervisor passes on", addr)
		}
		if slices.Contains(all, addr) {
			l.Errorf("address", "%q is given twice", addr)
		}
		all = append(all, addr)
		l.Done()
	}
	if len(all) == 0 {
		t.Errorf("listeners", "there is none")
	}
	return all
}

func checkAddress(t tree.Table, key, addr string) {
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		t.Errorf(key, "%q is no host:port", addr)
	}
}
