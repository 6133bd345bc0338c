package node

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/config"
	"lockflow/internal/customer"
	"lockflow/internal/eventlog"
	"lockflow/internal/front"
	"lockflow/internal/leasestore"
	"lockflow/internal/record"
	"lockflow/internal/route"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// Reload puts another configuration in force, as one step or, with an error, not at all. What
// was taken under the old one is served under it. A service that stays as it was goes on
// undisturbed, also where its source or its parts change; one that changes otherwise is
// replaced by one that goes on with what that one has left to spend and has learned; one that
// is not there any more ends when it holds nothing. Of the platform's configuration only the
// place of discovery is taken over. One reload follows another; each but the platform's makes a
// generation of its own.
func (n *Node) Reload(cfg config.Config) error {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	defer n.closeRemovedListeners()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.cfg.Process.Shared || !cfg.Process.Shared {
		if n.cfg.Process.Shared != cfg.Process.Shared {
			return errors.New("the platform's configuration and one of our own can't take each other's place")
		}
		s := n.services[n.cfg.Services[0].Name]
		slog.Info("reloading", "discovery", cfg.Services[0].Source.Address)
		s.SetSource(cfg.Services[0].Source)
		return nil
	}
	for _, c := range config.Compare(n.cfg, cfg).Restarts() {
		return fmt.Errorf("%s: %s can't become %s without a restart", c.What, c.From, c.To)
	}
	if err := n.awaitRetired(); err != nil {
		return err
	}
	if n.isShutDown {
		return errors.New("the node has ended")
	}
	opened, err := n.openListeners(cfg.Listeners)
	if err != nil {
		return err
	}
	gathers, err := n.prepareGatherers(&cfg)
	var next map[string]*runningService
	if err == nil {
		next, err = n.prepareServices(&cfg)
	}
	if err == nil {
		if err = n.limiter.setGuarantees(&cfg, next); err != nil {
			n.discardServices(next)
		}
	}
	if err != nil {
		for _, l := range opened {
			l.close()
		}
		return err
	}
	// From here on nothing can fail.
	n.generation++
	old := n.services
	var added, changed, removed, moved int
	for name, s := range next {
		was := old[name]
		switch {
		case was == nil:
			added++
			s.generation = n.generation
			n.startService(s)
		case was.Service != s.Service:
			changed++
			s.generation = n.generation
			n.replaceService(was, s)
		case !was.cfg.Source.Equal(s.cfg.Source):
			moved++
			s.SetSource(s.cfg.Source)
		}
	}
	n.front.SetTable(routeTable(&cfg, next, gathers))
	for name, s := range old {
		if now := next[name]; now == nil || now.Service != s.Service {
			if now == nil {
				removed++
			}
			n.retire(s)
		}
	}
	n.shareModels(n.gatherers, gathers)
	n.services, n.gatherers, n.cfg = next, gathers, cfg
	n.setListeners(opened, cfg.Listeners)
	n.notifyReadyChanged() // the service that was waited for may be gone
	slog.Info("reloaded", "generation", n.generation, "services", len(next), "added", added, "changed", changed, "moved", moved,
		"removed", removed, "older", len(n.retired))
	return nil
}

// replaceService has a service take another's place; n.mu is held.
func (n *Node) replaceService(was, s *runningService) {
	if n.servicesContext == nil { // neither has begun
		return
	}
	was.ReplaceWith(s.Service)
	n.startService(s)
	n.tasks.Go(func() {
		<-was.ended
		s.PredecessorEnded()
	})
}

// prepareServices makes what a configuration needs of services that are not in force. It changes
// nothing; n.mu is held, or nobody knows of n yet.
func (n *Node) prepareServices(cfg *config.Config) (map[string]*runningService, error) {
	next := make(map[string]*runningService, len(cfg.Services))
	for _, c := range cfg.Services {
		was := n.services[c.Name]
		if was != nil && !was.cfg.Replaces(c) {
			same := *was
			same.cfg = c
			next[c.Name] = &same
			continue
		}
		s, err := n.newService(c, was, cfg.Metrics != "")
		if err != nil {
			n.discardServices(next)
			return nil, fmt.Errorf("service %s: %w", c.Name, err)
		}
		next[c.Name] = s
	}
	return next, nil
}

// discardServices lets go of services that were made and will not run.
func (n *Node) discardServices(made map[string]*runningService) {
	for name, s := range made {
		if was := n.services[name]; was == nil || was.Service != s.Service {
			s.account.release()
		}
	}
}

// newService makes a service; one that takes another's place knows the servers of that one, and has its
// connections where they are made in the same way.
func (n *Node) newService(c config.Service, was *runningService, metrics bool) (*runningService, error) {
	share := was != nil && was.account != nil && was.cfg.Connect == c.Connect && was.cfg.Keepalive == c.Keepalive && was.cfg.Answer == c.Answer && was.cfg.Servers == c.Servers &&
		(was.cfg.HTTP == nil) == (c.HTTP == nil)
	var a *account
	if share { // its connections and all that it holds stay on one account
		a = was.account.retain()
	} else {
		a = n.limiter.openAccount()
	}
	speaks, err := newOrdinary(c)
	if err != nil {
		a.release()
		return nil, err
	}
	o := service.Options{
		Name: c.Name, AnyMethod: speaks != nil, Settings: c.Settings, Seed: c.Seed, Source: c.Source, CachedEndpoints: c.Known, OnPanic: c.OnPanic,
		OnReady: n.notifyReadyChanged,
		Upstream: upstream.Options{
			Connect: c.Connect, Keepalive: c.Keepalive, Answer: int(c.Answer), Sockets: n.limiter.upstreamSockets(a), Rest: upstream.AnswerGap,
			HTTP2: upstream.HTTP2{
				Streams: c.Servers.Streams, Conns: c.Servers.Connections, Age: c.Servers.Age, Again: c.Servers.Again,
				Whole: speaks == nil,
			},
		},
	}
	if c.Servers.TLS.On && !share {
		if o.Upstream.TLS, err = certs.Load(c.Servers.TLS); err != nil {
			a.release()
			return nil, fmt.Errorf("service %s: servers.tls: %w", c.Name, err)
		}
	}
	o.Protocol = c.Servers.Protocol
	o.Limiter = n.limiter.requestLimiter(a)
	if a != nil {
		o.Seed = rand.Uint64() // the platform tells one; here nobody does
		o.Upstream.Dials = a.dials
		o.Streams = &a.streams
		o.ObserveModuleTime = a.chargeModuleTime
		o.EstimateGroupSize = true
		o.Statistics = n.statistics
		if metrics {
			o.RequestCounts = n.requestCountsOf(c.Name)
		}
	}
	if n.cfg.Process.Tally {
		o.EventLog = eventlog.NewWriter(os.Stderr)
	}
	if c.Record.Dir != "" {
		o.NewModule = func() (service.Module, error) { return newRecordedModule(c, o.Seed) }
	}
	if share {
		o.SharedUpstream = was.Upstream()
	}
	var counters []*leasestore.Client
	if len(c.Counter.Addresses) > 0 {
		if o.SharedHardLimits, counters, err = openLeaseStores(c.Counter); err != nil {
			a.release()
			return nil, fmt.Errorf("service %s: counter: %w", c.Name, err)
		}
		o.Settings.Plans = slices.Clone(o.Settings.Plans)
		for i := range o.Settings.Plans {
			p := &o.Settings.Plans[i]
			p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack = 0, 0, 0 // held before the module
		}
	}
	if was != nil {
		o.CachedEndpoints = was.Endpoints()
		o.CachedEndpoints.Rev = 0 // of maybe another source
	}
	s, err := service.New(o)
	if err != nil {
		a.release()
		return nil, err
	}
	if a != nil {
		a.upstream.Store(s.Upstream())
	}
	r := &runningService{Service: s, cfg: c, account: a, ordinary: speaks, leaseStores: counters, ended: make(chan struct{})}
	if was != nil {
		r.predecessorEnded = was.ended
	}
	return r, nil
}

// openLeaseStores makes what a service needs to have its ceilings lent.
func openLeaseStores(c config.Counter) (*service.SharedHardLimits, []*leasestore.Client, error) {
	password := ""
	if c.PasswordFile != "" {
		raw, err := os.ReadFile(c.PasswordFile)
		if err != nil {
			return nil, nil, err
		}
		password = strings.TrimRight(string(raw), "\r\n")
	}
	s := &service.SharedHardLimits{Rules: c.Rules, ByPlan: c.Ceilings, StoreNames: c.Addresses}
	var all []*leasestore.Client
	for _, address := range c.Addresses {
		l := leasestore.New(leasestore.Options{Address: address, Username: c.Username, Password: password, Name: c.Name, Within: c.Within, Rules: c.Rules})
		s.Stores, all = append(s.Stores, l), append(all, l)
	}
	return s, all, nil
}

// newRecordedModule is a service's module with a recorder before it.
func newRecordedModule(c config.Service, seed uint64) (service.Module, error) {
	m, err := control.New(c.Settings, seed)
	if err != nil {
		return nil, err
	}
	return record.New(m, c.Settings, record.Options{Service: c.Name, Dir: c.Record.Dir, Bytes: c.Record.Bytes})
}

// newOrdinary is the protocol of a service of ordinary HTTP; nil where it speaks the platform's.
func newOrdinary(c config.Service) (*front.Ordinary, error) {
	h := c.HTTP
	if h == nil {
		return nil, nil
	}
	book := customer.New(h.Customers)
	if err := book.Load(planChecker(c)); err != nil {
		return nil, err
	}
	return front.NewOrdinary(front.OrdinaryOptions{
		Customers: book, SafeClass: config.ClassRead, UnsafeClass: config.ClassWrite, ClassWithoutKey: h.Once,
		TimeoutHeader: h.TimeHeader, SendTimeLeft: h.SendTime, SendRequestID: h.SendID, RetryBufferBytes: int(h.Replay), MaxBufferedAnswerBytes: int(c.Answer), IdleTimeout: h.Idle,
		MinBytesPerSecond: h.LeastRate, ResponseRules: h.Rules, AllowUnderscores: h.Underscores, ForwardingHeaders: h.Tells, TrustedProxies: h.Customers.Trusted,
	}), nil
}

// planChecker tells whether a service has a plan.
func planChecker(c config.Service) func(string) bool {
	return func(name string) bool {
		return slices.ContainsFunc(c.Settings.Plans, func(p control.Plan) bool { return p.Name == name })
	}
}

// notifyReadyChanged wakes who waits for the node to be ready. It never waits.
func (n *Node) notifyReadyChanged() {
	select {
	case n.readyChanged <- struct{}{}:
	default:
	}
}

// routeTable is where the routes of a configuration lead.
func routeTable(cfg *config.Config, services map[string]*runningService, gathers map[string]*gatherer) *front.RoutingTable {
	t := &front.RoutingTable{}
	if cfg.Routes == nil {
		c := cfg.Services[0]
		t.Targets = []front.Target{{Service: services[c.Name].Service, MaxBodyBytes: c.Body}}
		return t
	}
	var rules []route.Rule
	gather := make(map[string]*front.ScatterGather)
	for _, r := range cfg.Routes {
		rules = append(rules, r.Rule)
		if gathers[r.Service] != nil {
			if gather[r.Service] == nil {
				gather[r.Service] = gatherTarget(r.Service, gathers, services)
			}
			t.Targets = append(t.Targets, front.Target{Class: r.As, ScatterGather: gather[r.Service]})
			continue
		}
		s := services[r.Service]
		to := front.Target{Service: s.Service, Class: r.As, MaxBodyBytes: s.cfg.Body, UpgradeProtocols: r.Upgrade}
		if s.ordinary != nil {
			to.Protocol = s.ordinary
		}
		t.Targets = append(t.Targets, to)
	}
	t.Router, _ = route.New(rules) // without problems: the configuration was read with them
	return t
}
