package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/config"
	"lockflow/internal/customer"
	"lockflow/internal/eventlog"
	"lockflow/internal/front"
	"lockflow/internal/leasestore"
	"lockflow/internal/record"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// certificateCheckInterval is the time between two checks of the TLS files of a service's servers for changes.
const certificateCheckInterval = time.Second

// runningService is a service in force or retired, with the configuration that it was created from.
type runningService struct {
	*service.Service
	cfg              config.Service
	account          *account             // nil if services share nothing
	genericHTTP      *front.GenericHTTP   // nil if clients speak the platform's protocol
	leaseStores      []*leasestore.Client // stores that lend its hard limits; closed when the service ends
	generation       int                  // generation in which it started
	predecessorEnded <-chan struct{}      // ended channel of the service that it replaced, or nil
	cancel           func()               // ends the service and its requests in flight; nil until it runs
	ended            chan struct{}        // closed when the service and its predecessors have ended
}

// prepareServices returns the services of a configuration. It creates the new and changed ones, reuses the others, and
// changes none of the services in force. The caller holds n.mu, unless n is not yet shared between goroutines.
func (n *Node) prepareServices(cfg *config.Config) (map[string]*runningService, error) {
	next := make(map[string]*runningService, len(cfg.Services))
	for _, c := range cfg.Services {
		current := n.services[c.Name]
		if current != nil && !current.cfg.Replaces(c) {
			unchanged := *current
			unchanged.cfg = c
			next[c.Name] = &unchanged
			continue
		}
		s, err := n.newService(c, current, cfg.Metrics != "")
		if err != nil {
			n.discardServices(next)
			return nil, fmt.Errorf("service %s: %w", c.Name, err)
		}
		next[c.Name] = s
	}
	return next, nil
}

// discardServices releases prepared services that will not run.
func (n *Node) discardServices(prepared map[string]*runningService) {
	for name, s := range prepared {
		if current := n.services[name]; current == nil || current.Service != s.Service {
			s.account.release()
		}
	}
}

// newService creates a service. If it replaces a predecessor, it takes over the predecessor's endpoints, and also its
// connections if new ones would be made with the same settings.
func (n *Node) newService(cfg config.Service, predecessor *runningService, hasMetrics bool) (*runningService, error) {
	r := &runningService{cfg: cfg, ended: make(chan struct{})}
	sharesUpstream := canShareUpstream(cfg, predecessor)
	if sharesUpstream { // shared connections and the resources that they use stay on one account
		r.account = predecessor.account.retain()
	} else {
		r.account = n.limiter.openAccount()
	}
	if err := n.buildService(r, predecessor, sharesUpstream, hasMetrics); err != nil {
		r.account.release()
		return nil, err
	}
	if r.account != nil {
		r.account.upstream.Store(r.Upstream())
	}
	if predecessor != nil {
		r.predecessorEnded = predecessor.ended
	}
	return r, nil
}

// canShareUpstream reports whether a service makes connections with the same settings as its predecessor, so that it can
// take over the predecessor's connections.
func canShareUpstream(cfg config.Service, predecessor *runningService) bool {
	if predecessor == nil || predecessor.account == nil {
		return false
	}
	previous := &predecessor.cfg
	hasSameTimeouts := previous.ConnectTimeout == cfg.ConnectTimeout && previous.Keepalive == cfg.Keepalive
	hasSameProtocol := previous.Servers == cfg.Servers && (previous.HTTP == nil) == (cfg.HTTP == nil)
	return hasSameTimeouts && hasSameProtocol && previous.MaxResponseBytes == cfg.MaxResponseBytes
}

// buildService creates the service itself and its dependencies: protocol, TLS files and lease stores.
func (n *Node) buildService(r *runningService, predecessor *runningService, sharesUpstream, hasMetrics bool) (err error) {
	cfg := r.cfg
	if r.genericHTTP, err = newGenericHTTP(cfg); err != nil {
		return err
	}
	options := n.serviceOptions(r, hasMetrics)
	if sharesUpstream {
		options.SharedUpstream = predecessor.Upstream()
	} else if cfg.Servers.TLS.Enabled {
		if options.Upstream.TLS, err = certs.Load(cfg.Servers.TLS); err != nil {
			return fmt.Errorf("service %s: servers.tls: %w", cfg.Name, err)
		}
	}
	if len(cfg.Counter.Addresses) > 0 {
		if options.SharedHardLimits, r.leaseStores, err = openLeaseStores(cfg.Counter); err != nil {
			return fmt.Errorf("service %s: counter: %w", cfg.Name, err)
		}
		options.Settings.Plans = withoutHardLimits(options.Settings.Plans)
	}
	if predecessor != nil {
		options.CachedEndpoints = predecessor.Endpoints()
		options.CachedEndpoints.Revision = 0 // the revision may be that of another source
		options.Predecessor = predecessor.Service
	}
	r.Service, err = service.New(options)
	return err
}

// serviceOptions returns the options that depend only on a service's configuration and account.
func (n *Node) serviceOptions(r *runningService, hasMetrics bool) service.Options {
	cfg := r.cfg
	account := r.account
	options := service.Options{
		Name:            cfg.Name,
		Settings:        cfg.Settings,
		Seed:            cfg.Seed,
		Upstream:        n.upstreamOptions(r),
		Protocol:        cfg.Servers.Protocol,
		Source:          cfg.Source,
		CachedEndpoints: cfg.Known,
		OnPanic:         cfg.OnPanic,
		AnyMethod:       r.genericHTTP != nil,
		Limiter:         n.limiter.requestLimiter(account),
		OnReady:         n.notifyReadyChanged,
	}
	options.Settings.MaxAccounts = maxServiceAccounts(&n.cfg.Process, len(n.cfg.Services))
	if account != nil {
		options.Seed = rand.Uint64() // only the platform's configuration sets a seed
		options.Streams = &account.streams
		options.ObserveModuleTime = account.chargeModuleTime
		options.EstimateGroupSize = true
		options.Statistics = n.statistics
		if hasMetrics {
			options.RequestCounts = n.requestCountsOf(cfg.Name)
		}
	}
	if n.cfg.Process.EventLog {
		options.EventLog = eventlog.NewWriter(os.Stderr)
	}
	if cfg.Record.Dir != "" {
		seed := options.Seed
		options.NewModule = func() (service.Module, error) { return newRecordedModule(cfg, seed) }
	}
	return options
}

// upstreamOptions returns the options of a service's connections to its servers.
func (n *Node) upstreamOptions(r *runningService) upstream.Options {
	cfg := r.cfg
	options := upstream.Options{
		ConnectTimeout:   cfg.ConnectTimeout,
		KeepAliveTimeout: cfg.Keepalive,
		MaxBodyBytes:     int(cfg.MaxResponseBytes),
		SocketLimiter:    n.limiter.upstreamSockets(r.account),
		QuietPeriod:      upstream.SecondResponseDelay,
		HTTP2: upstream.HTTP2Options{
			MaxStreams:       cfg.Servers.MaxStreams,
			MaxConnections:   cfg.Servers.MaxConnections,
			MaxConnectionAge: cfg.Servers.MaxAge,
			FallbackPeriod:   cfg.Servers.HTTP2RetryInterval,
			StartsAtLastByte: r.genericHTTP == nil,
		},
	}
	if r.account != nil {
		options.DialLimiter = r.account.dials
	}
	return options
}

// withoutHardLimits returns a copy of plans without hard limits. With lease stores, hard limits are enforced before the
// decision module.
func withoutHardLimits(plans []control.Plan) []control.Plan {
	plans = slices.Clone(plans)
	for i := range plans {
		plan := &plans[i]
		plan.HardLimitRate = 0
		plan.HardLimitBurst = 0
		plan.HardLimitSlack = 0
	}
	return plans
}

// openLeaseStores creates clients of the lease stores that lend a service its hard limits.
func openLeaseStores(cfg config.Counter) (*service.SharedHardLimits, []*leasestore.Client, error) {
	password, err := readPassword(cfg.PasswordFile)
	if err != nil {
		return nil, nil, err
	}
	hardLimits := &service.SharedHardLimits{Rules: cfg.Rules, ByPlan: cfg.HardLimits, StoreNames: cfg.Addresses}
	var clients []*leasestore.Client
	for _, address := range cfg.Addresses {
		client := leasestore.New(leasestore.Options{
			Address:   address,
			Username:  cfg.Username,
			Password:  password,
			KeyPrefix: cfg.Name,
			Timeout:   cfg.CallTimeout,
			Rules:     cfg.Rules,
		})
		clients = append(clients, client)
		hardLimits.Stores = append(hardLimits.Stores, client)
	}
	return hardLimits, clients, nil
}

// newRecordedModule creates a decision module whose events are recorded to files.
func newRecordedModule(cfg config.Service, seed uint64) (service.Module, error) {
	module, err := control.New(cfg.Settings, seed)
	if err != nil {
		return nil, err
	}
	return record.New(module, cfg.Settings, record.Options{
		Service:  cfg.Name,
		Dir:      cfg.Record.Dir,
		MaxBytes: cfg.Record.MaxBytes,
	})
}

// newGenericHTTP creates the protocol of a generic HTTP service. It returns nil if clients speak the platform's protocol.
func newGenericHTTP(cfg config.Service) (*front.GenericHTTP, error) {
	http := cfg.HTTP
	if http == nil {
		return nil, nil
	}
	customers := customer.New(http.Customers)
	if err := customers.Load(planChecker(cfg)); err != nil {
		return nil, err
	}
	return front.NewGenericHTTP(front.GenericHTTPOptions{
		Customers:              customers,
		SafeClass:              config.ClassRead,
		UnsafeClass:            config.ClassWrite,
		ClassWithoutKey:        http.ClassWithoutKey,
		TimeoutHeader:          http.TimeoutHeader,
		SendTimeLeft:           http.SendTimeLeft,
		SendRequestID:          http.SendRequestID,
		ForwardingHeaders:      http.ForwardingHeaders,
		TrustedProxies:         http.Customers.TrustedProxies,
		RetryBufferBytes:       int(http.RetryBufferBytes),
		MaxBufferedAnswerBytes: int(cfg.MaxResponseBytes),
		IdleTimeout:            http.IdleTimeout,
		MinBytesPerSecond:      http.MinBytesPerSecond,
		ResponseRules:          http.ResponseRules,
		AllowUnderscores:       http.AllowUnderscores,
	}), nil
}

// planChecker returns a function that reports whether a service has a plan with a given name.
func planChecker(cfg config.Service) func(string) bool {
	return func(name string) bool {
		return slices.ContainsFunc(cfg.Settings.Plans, func(plan control.Plan) bool { return plan.Name == name })
	}
}

// startService runs a service, and reloads its customers' file and TLS files when they change. It does nothing if the
// node does not run yet. The caller holds n.mu.
func (n *Node) startService(s *runningService) {
	if n.servicesContext == nil {
		return
	}
	n.runningServices++
	ctx, cancel := context.WithCancel(n.servicesContext)
	s.cancel = cancel
	if s.genericHTTP != nil {
		n.tasks.Go(func() { s.genericHTTP.Customers.Follow(ctx, planChecker(s.cfg)) })
	}
	if certificates := s.Upstream().TLS; certificates != nil {
		n.tasks.Go(func() {
			certificates.Follow(ctx, certificateCheckInterval, func(err error) {
				slog.Warn("reloading TLS files for servers failed: the previous ones stay in force", "service", s.cfg.Name, "err", err)
			})
		})
	}
	n.tasks.Go(func() {
		err := s.Run(ctx)
		cancel()
		n.serviceDone(s, err)
	})
}

// serviceDone releases the resources of a service that has ended. err is the result of its Run.
func (n *Node) serviceDone(s *runningService, err error) {
	if err != nil {
		select {
		case n.serviceFailures <- err:
		default: // an earlier failure already ends the node
		}
	}
	s.account.release()
	for _, client := range s.leaseStores {
		_ = client.Close() // only closes pooled connections
	}
	n.mu.Lock()
	n.runningServices--
	delete(n.retired, s.Service)
	n.serviceEnded.Broadcast()
	n.mu.Unlock()
	if s.predecessorEnded != nil {
		<-s.predecessorEnded
	}
	close(s.ended)
}

// awaitServices waits until no service is running.
func (n *Node) awaitServices() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.runningServices > 0 {
		n.serviceEnded.Wait()
	}
}
