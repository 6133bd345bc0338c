package config

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
)

// Overrides are what a command line says in place of the file, so that many instances share one
// file. What is zero leaves the file's.
type Overrides struct {
	Listen                  string
	ControlSocket, StateDir string
	Instances, Instance     int // both, where Instances is not 0
}

// Check tells what can't be used.
func (o Overrides) Check() error {
	if o.Listen != "" {
		if _, port, err := net.SplitHostPort(o.Listen); err != nil || port == "" {
			return fmt.Errorf("listen: %q is no host:port", o.Listen)
		}
	}
	for name, path := range map[string]string{"control": o.ControlSocket, "state": o.StateDir} {
		if path != "" && !filepath.IsAbs(path) {
			return fmt.Errorf("%s: %q is no absolute path", name, path)
		}
	}
	if len(o.ControlSocket) > maxSocketPath {
		return fmt.Errorf("control: %d bytes are more than the %d that the address of a Unix socket may have", len(o.ControlSocket), maxSocketPath)
	}
	switch {
	case o.Instances == 0 && o.Instance != 0:
		return errors.New("instance: only with instances")
	case o.Instances < 0 || o.Instances > maxCount || o.Instance < 0 || o.Instances > 0 && o.Instance >= o.Instances:
		return fmt.Errorf("instance: %d is none of %d, counted from 0", o.Instance, o.Instances)
	}
	return nil
}

// Apply puts them in the place of what a file says.
func (o Overrides) Apply(c *Config) error {
	if err := o.Check(); err != nil {
		return err
	}
	if o.Listen != "" {
		c.Listeners = []string{o.Listen}
	}
	if o.ControlSocket != "" {
		c.Process.ControlSocket = o.ControlSocket
	}
	if o.StateDir != "" {
		c.Process.StateDir = o.StateDir
	}
	if o.Instances > 0 {
		for i := range c.Services {
			c.Services[i].Settings.GroupSize, c.Services[i].Settings.SelfIndex = o.Instances, o.Instance
		}
	}
	return nil
}
