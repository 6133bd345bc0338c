package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/wire"
)

// LoadPlatform reads the platform's JSON file at path (DEPLOY): one service, with no routes.
func LoadPlatform(path string) (Config, error) {
	raw, err := readFile(path)
	if err != nil {
		return Config{}, err
	}
	c, err := ParsePlatform(raw)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.Hash = desiredstate.Hash(raw)
	return c, nil
}

// platformFile is the platform's file. It has these keys in small letters; they are read in any case, and errors
// name them as here.
type platformFile struct {
	Name      string `json:"Name"`
	Listen    string `json:"Listen"`
	Discovery string `json:"Discovery"`
	Seed      string `json:"Seed"`
	Limits    struct {
		Cores    float64 `json:"Cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"Sockets"`
	} `json:"Limits"`
	Known    json.RawMessage `json:"Known"`
	Settings json.RawMessage `json:"Settings"`
}

// validate reports addresses and limits that can't be used. A limit that is missing is none.
func (f *platformFile) validate() error {
	if f.Listen == "" || f.Discovery == "" {
		return fmt.Errorf("listen and discovery must both be given")
	}
	for name, addr := range map[string]string{"listen": f.Listen, "discovery": f.Discovery} {
		if err := CheckAddress(addr); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if l := f.Limits; l.Sockets != 0 && l.Sockets < limits.MinDescriptors {
		return fmt.Errorf("limits.sockets: %g leaves no room for connections; %d is the least", l.Sockets, limits.MinDescriptors)
	} else if l.MemoryMB < 0 || l.Cores < 0 {
		return fmt.Errorf("limits: cores and memory_mb: %v and %v, of which one is negative", l.Cores, l.MemoryMB)
	}
	return nil
}

// ParsePlatform reads the text of such a file.
func ParsePlatform(raw []byte) (Config, error) {
	var file platformFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return Config{}, err
	}
	s := Service{
		Source: discovery.Source{Address: file.Discovery}, Required: true,
		MaxBodyBytes: protocol.MaxBodyBytes, MaxResponseBytes: protocol.MaxBodyBytes,
	}
	c := Config{
		Listeners: []string{file.Listen},
		Process: Process{
			Cores: file.Limits.Cores, MemoryMB: int(math.Ceil(min(file.Limits.MemoryMB, math.MaxInt32))),
			Descriptors: int(min(file.Limits.Sockets, math.MaxInt32)),
		},
	}
	err := file.validate()
	if err != nil {
		return c, err
	}
	if s.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	// Guards against a node that does not start for a list which it is told anew at once.
	if len(file.Known) > 0 {
		if err := json.Unmarshal(file.Known, &s.Known); err != nil {
			s.Known = discovery.EndpointList{Invalid: discovery.InvalidEntries{Count: 1, FirstError: fmt.Errorf("known: %w", err)}}
		}
	}
	paths, err := flatten(file.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if s.Settings, err = wire.Settings(paths); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	// Lists that are pushed lie with an agent of this node's own; what has to be asked for is shared.
	s.Source.IsOwnAgent = !s.Settings.ListOnRequest
	s.Settings.ListOnRequest = false // on sockets a watch is always kept; nothing has to be asked for
	if s.Keepalive, err = milliseconds(paths, "limits.keepalive", 15*time.Second); err != nil {
		return c, err
	}
	if s.ConnectTimeout, err = milliseconds(paths, "limits.connect-timeout", 250*time.Millisecond); err != nil {
		return c, err
	}
	c.Process.Drain = platformDrain(longestDeadline(s.Settings))
	c.Services, c.Warnings = []Service{s}, wire.InvalidSettings(s.Settings)
	return c, nil
}

// CheckAddress tells what makes an address none that can be connected to or listened on: without DNS
// there are no named ports either.
func CheckAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q: the port is no number below 65536", addr)
	}
	if _, err := url.Parse("http://" + addr); err != nil {
		return fmt.Errorf("%q: %q is no host", addr, host)
	}
	return nil
}

// milliseconds reads a span of the settings that is the node's own business.
func milliseconds(paths map[string]string, path string, missing time.Duration) (time.Duration, error) {
	text, ok := paths[path]
	if !ok {
		return missing, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v < 1e9) {
		return 0, fmt.Errorf("settings: %s: %q is no span in milliseconds", path, text)
	}
	return time.Duration(v * float64(time.Millisecond)), nil
}

// flatten turns nested JSON into the dotted paths that package wire reads.
func flatten(raw json.RawMessage) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	paths := make(map[string]string)
	flattenInto(paths, "", tree)
	return paths, nil
}

func flattenInto(paths map[string]string, prefix string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, item := range v {
			flattenInto(paths, strings.TrimPrefix(prefix+"."+k, "."), item)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				flattenInto(paths, prefix+"."+strconv.Itoa(i), item)
			} else {
				plain = append(plain, fmt.Sprint(item))
			}
		}
		paths[prefix+".count"] = strconv.Itoa(len(v))
		if plain != nil {
			paths[prefix] = strings.Join(plain, ",")
		}
	case nil:
	default:
		paths[prefix] = fmt.Sprint(v)
	}
}
