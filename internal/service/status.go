package service

import "lockflow/internal/upstream"

// Status is a service's current state. The JSON keys are those of the control socket.
type Status struct {
	Name string `json:"name"`
	// Ready is whether the service has ever had an available server.
	Ready bool `json:"ready"`
	// Requests counts accepted requests that have no answer yet or an attempt in flight.
	Requests int `json:"held"`
	// Unanswered counts those of Requests whose client has no answer yet.
	Unanswered       int `json:"waiting"`
	AttemptsInFlight int `json:"attempts"`
	// Servers counts the listed servers, and AvailableServers those of them that take new requests.
	Servers          int `json:"servers"`
	AvailableServers int `json:"up"`
	// IdleConnections counts unused connections to servers.
	IdleConnections int   `json:"idle"`
	Restarts        int64 `json:"restarts"` // of the module
	// OpenStreams counts response streams and tunnels that are open, and CutStreams those that were closed
	// because another service needed the resources.
	OpenStreams int   `json:"streams"`
	CutStreams  int64 `json:"cut"`
	// HTTP2 describes the connections that requests share; nil if all servers speak HTTP/1.1.
	HTTP2 *upstream.HTTP2Status `json:"http2,omitempty"`
	// HardLimits is the state at each lease store; empty if no hard limit is shared.
	HardLimits []HardLimitStatus `json:"shared,omitempty"`
	// ConcurrencyLimit is how many attempts the module allows in flight at once; 0 if it does not report that.
	ConcurrencyLimit float64 `json:"bound"`
	// GroupSizeRange is the smallest and the largest group size that the servers' load reports are consistent
	// with; zero if there are too few reports.
	GroupSizeRange [2]float64 `json:"group"`
	// IsGroupSizeContradicted is whether the configured group size is outside that range.
	IsGroupSizeContradicted bool `json:"group_doubts"`
}

// Status returns the service's current state. If the service has ended, only the fields that do not depend on its
// event loop are set.
func (s *Service) Status() Status {
	st := Status{Name: s.options.Name, Ready: s.isReady.Load(), Restarts: s.restarts.Load()}
	st.IdleConnections, _ = s.upstream.CountIdle()
	st.HTTP2 = s.upstream.HTTP2Status()
	st.OpenStreams, st.CutStreams = s.options.Streams.Stats()
	l := s.currentLoop()
	done := make(chan struct{})
	isPosted := l.post(func() {
		l.addStatus(&st)
		close(done)
	})
	if isPosted {
		select {
		case <-done:
		case <-l.ended:
		}
	}
	return st
}

// addStatus adds the state of the loop.
func (l *loop) addStatus(st *Status) {
	st.Requests = len(l.exchanges)
	st.Servers = len(l.serverIDs)
	st.AvailableServers = len(l.pools)
	for _, x := range l.exchanges {
		st.AttemptsInFlight += x.inFlight
		if !x.isAnswered {
			st.Unanswered++
		}
	}
	st.ConcurrencyLimit = l.concurrencyLimit()
	st.HardLimits = l.hardLimitStatus()
	if l.groupSizeEstimator != nil {
		st.GroupSizeRange[0], st.GroupSizeRange[1], _ = l.groupSizeEstimator.Range(l.now())
		st.IsGroupSizeContradicted = l.groupSizeEstimator.ContradictsConfiguration(l.now())
	}
}
