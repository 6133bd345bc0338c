package discovery

import "slices"

// Kind is the kind of a source of endpoint lists.
type Kind int

// The kinds of source.
const (
	Watch  Kind = iota // a discovery of the platform's protocol, which is watched
	File               // a file that holds an EndpointList as JSON, reloaded when it changes
	Static             // the configuration itself
)

// Source is the origin of a service's endpoint list.
type Source struct {
	Kind       Kind
	Address    string     // with Watch: host and port
	IsOwnAgent bool       // with Watch: this instance's own agent, which no other instance calls
	Path       string     // with File
	Endpoints  []Endpoint // with Static
}

// Equal reports whether two sources are the same.
func (s Source) Equal(other Source) bool {
	isSameLocation := s.Kind == other.Kind && s.Address == other.Address && s.Path == other.Path
	return isSameLocation && s.IsOwnAgent == other.IsOwnAgent && slices.Equal(s.Endpoints, other.Endpoints)
}
