package discovery

import "slices"

// Kind is the kind of a Source.
type Kind int

// The kinds of source.
const (
	Watch  Kind = iota // a discovery server that speaks the platform's protocol
	File               // a file that holds an EndpointList as JSON and is reloaded when it changes
	Static             // a list in the configuration
)

// Source is the origin of a service's endpoint list.
type Source struct {
	Kind       Kind
	Address    string     // with Watch: host and port
	IsOwnAgent bool       // with Watch: the address is this instance's own agent, which no other instance calls
	Path       string     // with File
	Endpoints  []Endpoint // with Static
}

// Equal reports whether two sources are the same in every field.
func (s Source) Equal(other Source) bool {
	isSameLocation := s.Kind == other.Kind && s.Address == other.Address && s.Path == other.Path
	return isSameLocation && s.IsOwnAgent == other.IsOwnAgent && slices.Equal(s.Endpoints, other.Endpoints)
}
