package config

import (
	"lockflow/internal/config/tree"
	"lockflow/internal/discovery"
)

func (r *reader) readSource(in tree.Table) discovery.Source {
	if !in.Has("source") {
		in.Errorf("source", "it has to be said where the servers come from")
		return discovery.Source{}
	}
	t := in.Sub("source")
	src := discovery.Source{Kind: discovery.Kind(t.OneOf("kind", "discovery", "file", "static"))}
	if !t.Has("kind") {
		t.Errorf("kind", `it has to be said: "discovery", "file" or "static"`)
	}
	src.Address, src.Path = t.String("address", ""), t.String("path", "")
	for i, one := range t.Tables("servers") {
		src.Endpoints = append(src.Endpoints, readServer(one))
		for _, s := range src.Endpoints[:i] {
			if s.UID == src.Endpoints[i].UID {
				one.Errorf("uid", "%q is given twice", s.UID)
			}
		}
	}
	for i, key := range []string{"address", "path", "servers"} {
		mine := discovery.Kind(i) == src.Kind
		if mine && !t.Has(key) && t.Has("kind") {
			t.Errorf(key, "this kind of source needs it")
		}
		if !mine && t.Has(key) && t.Has("kind") {
			t.Errorf(key, "not with this kind of source")
		}
	}
	if src.Kind == discovery.Watch && t.Has("address") {
		checkAddress(t, "address", src.Address)
	}
	if src.Kind == discovery.Static && t.Has("servers") && len(src.Endpoints) == 0 {
		t.Errorf("servers", "there is none")
	}
	t.Done()
	return src
}

func readServer(t tree.Table) discovery.Endpoint {
	s := discovery.Endpoint{
		UID: t.String("uid", ""), Address: t.String("endpoint", ""), Zone: t.String("zone", ""),
		Model: t.String("model", ""), Group: int(t.Integer("group", 0, 0, maxCount)),
		State: []string{"up", "draining"}[t.OneOf("state", "up", "draining")], Capacity: t.Number("capacity", 1, 0.001, maxNumber),
	}
	if s.UID == "" {
		s.UID = s.Address
	}
	if t.Has("protocol") {
		s.Protocol = discovery.Protocols[t.OneOf("protocol", discovery.Protocols...)]
	}
	checkAddress(t, "endpoint", s.Address)
	t.Done()
	return s
}
