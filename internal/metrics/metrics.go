// Package metrics tells what a node does in Prometheus' text format. All but the counts of
// requests is asked of the node at each scrape, so that what nobody scrapes costs nothing.
package metrics

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lockflow/internal/accept"
	"lockflow/internal/invariant"
	"lockflow/internal/limits"
	"lockflow/internal/manage"
	"lockflow/internal/node"
	"lockflow/internal/service"
)

const (
	scrapeTimeout = 5 * time.Second
	maxScrapes    = 4 // at once
	contentType   = "text/plain; version=0.0.4; charset=utf-8"
)

// Source is what is told of; *node.Node is one.
type Source interface {
	Status() []node.Status
	Generation() int
	RetiredServices() []node.RetiredService
	RequestCounts() map[string]*service.RequestCounts
}

// Member is a Source that is a member of a fleet.
type Member interface {
	Member() manage.Status // hash, epoch, what is wanted and figures alone
}

// family is one metric. Its labels are names of a configuration, and words listed in package
// service.
type family struct {
	name, kind, help string
	labels           []string
}

// The metrics, by Prometheus' conventions for names and units.
var (
	requests            = family{"requests_total", "counter", "Requests by their final answer.", []string{"service", "class", "outcome"}}
	rejections          = family{"refusals_total", "counter", "Refused requests by what refused them.", []string{"service", "class", "reason"}}
	attempts            = family{"attempts_total", "counter", "Attempts at app servers by how they ended.", []string{"service", "class", "outcome"}}
	acceptedRequests    = family{"requests_held", "gauge", "Requests that are held, and those of which an attempt is out.", []string{"service"}}
	attemptsInFlight    = family{"attempts_out", "gauge", "Attempts that are out.", []string{"service"}}
	concurrencyLimit    = family{"attempts_bound", "gauge", "Attempts that the decision module lets out at once.", []string{"service"}}
	servers             = family{"servers", "gauge", "Listed app servers by condition.", []string{"service", "condition"}}
	idleConnections     = family{"server_connections_idle", "gauge", "Idle connections to app servers.", []string{"service"}}
	sharedConnections   = family{"server_connections_shared", "gauge", "Connections of HTTP/2 to app servers.", []string{"service"}}
	streams             = family{"server_streams", "gauge", "Streams on connections of HTTP/2: open ones, and the room for more.", []string{"service", "state"}}
	streamWaits         = family{"server_stream_waits", "gauge", "Requests that wait for a stream or a connection of HTTP/2.", []string{"service"}}
	fallbackServers     = family{"servers_fallen_back", "gauge", "App servers that are spoken to by HTTP/1.1 for a time.", []string{"service"}}
	storeLends          = family{"counter_lends", "gauge", "Whether a counter of shared ceilings lends to this instance.", []string{"service", "counter"}}
	storeOwnQuota       = family{"counter_own_part", "gauge", "Whether this instance spends its part of ceilings itself.", []string{"service", "counter"}}
	storeLeasedUnits    = family{"counter_units_borrowed", "gauge", "Units that are borrowed and not spent.", []string{"service", "counter"}}
	storeQueuedRequests = family{"counter_waits", "gauge", "Requests that wait for units.", []string{"service", "counter"}}
	storeCalls          = family{"counter_calls_total", "counter", "Calls to a counter of shared ceilings.", []string{"service", "counter"}}
	restarts            = family{"module_restarts_total", "counter", "Starts of the decision module after a fault.", []string{"service"}}
	moduleTime          = family{"module_seconds_per_second", "gauge", "Time of the decision module, of late.", []string{"service"}}
	resourceUsed        = family{"part_used", "gauge", "What a service has of a thing of the process.", []string{"service", "limit"}}
	resourceGuaranteed  = family{"part_guaranteed", "gauge", "What it is guaranteed of that; more than that is lent to it.", []string{"service", "limit"}}
	resourceDenied      = family{"part_denied_total", "counter", "Times that it was denied more.", []string{"service", "limit"}}
	generation          = family{"generation", "gauge", "Number of the configuration in force.", nil}
	acceptFailures      = family{"accept_failures_total", "counter", "Connections that could not be accepted, by the system's error.", []string{"listener", "errno"}}
	violations          = family{"invariant_violations_total", "counter", "Rules that the node has broken, by its own checks.", []string{"rule"}}
	retiredServices     = family{"older_services", "gauge", "Services of earlier generations that still hold requests.", nil}
)

// Of a member of a fleet.
var (
	settings        = family{"settings_info", "gauge", "The configuration in force, by its hash.", []string{"hash"}}
	isDesiredConfig = family{"settings_as_wanted", "gauge", "Whether the configuration in force is the one that was ordered last.", nil}
	epoch           = family{"epoch", "gauge", "Newest epoch of a coordinator that was granted; 0 is none.", nil}
	hasLostEpochs   = family{"epochs_lost", "gauge", "Whether the epochs that were granted are not known any more.", nil}
	priorityWeight  = family{"worth_total", "counter", "Worth of requests: asked within quotas, and of that served in time.", []string{"state"}}
	units           = family{"units_sent_total", "counter", "Units of the attempts that were sent.", nil}
	breaches        = family{"breaches_total", "counter", "Breaches of rules that the node sees of itself.", nil}
	panics          = family{"module_panics_total", "counter", "Panics of decision modules.", nil}
	lateTotal       = family{"late_total", "counter", "Requests that were served after their class's aim.", nil}
	overQuotaTotal  = family{"beyond_total", "counter", "Requests that were refused as beyond a quota or ceiling.", nil}
)

// addMember tells what a member of a fleet tells of itself.
func (p *page) addMember(s *manage.Status) {
	f := &s.Statistics
	p.add(&settings, 1, s.ConfigHash)
	p.add(&isDesiredConfig, oneIf(s.DesiredState.Hash == "" || s.DesiredState.Hash == s.ConfigHash))
	p.add(&epoch, float64(s.Epoch))
	p.add(&hasLostEpochs, oneIf(s.LostToken != ""))
	p.add(&priorityWeight, f.OfferedWeight, "asked")
	p.add(&priorityWeight, f.Served, "served")
	p.add(&units, f.Units)
	p.add(&breaches, float64(f.Breaches))
	p.add(&panics, float64(f.Panics))
	p.add(&lateTotal, float64(f.Late))
	p.add(&overQuotaTotal, float64(f.OverQuota))
}

// page is what one scrape tells: a family's values follow each other.
type page struct {
	order  []*family
	values map[*family]*bytes.Buffer
}

var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func (p *page) add(f *family, v float64, labels ...string) {
	b := p.values[f]
	if b == nil {
		b = &bytes.Buffer{}
		p.values[f], p.order = b, append(p.order, f)
	}
	var name strings.Builder
	name.WriteString("lockflow_" + f.name)
	for i, l := range labels {
		fmt.Fprintf(&name, `%c%s="%s"`, "{,"[min(i, 1)], f.labels[i], escape.Replace(l))
	}
	if len(labels) > 0 {
		name.WriteByte('}')
	}
	metrics.WriteGaugeFloat64(b, name.String(), v) // the form of a value is the same for all kinds
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Write tells what a source does now.
func Write(w io.Writer, of Source) error {
	p := &page{values: make(map[*family]*bytes.Buffer)}
	p.add(&generation, float64(of.Generation()))
	p.add(&retiredServices, float64(len(of.RetiredServices())))
	accept.EachFailure(func(purpose accept.Purpose, errno string, count uint64) {
		p.add(&acceptFailures, float64(count), string(purpose), errno)
	})
	invariant.Each(func(rule invariant.Rule, count uint64) {
		if count > 0 {
			p.add(&violations, float64(count), rule.String())
		}
	})
	if m, ok := of.(Member); ok {
		s := m.Member()
		p.addMember(&s)
	}
	for _, s := range of.Status() {
		p.addService(&s)
	}
	for name, counts := range of.RequestCounts() {
		p.addCounts(name, counts)
	}
	if g, ok := of.(GatherSource); ok {
		p.addGathers(g)
	}
	slices.SortFunc(p.order, func(a, b *family) int { return strings.Compare(a.name, b.name) })
	for _, f := range p.order {
		if _, err := fmt.Fprintf(w, "# HELP lockflow_%s %s\n# TYPE lockflow_%s %s\n%s", f.name, f.help, f.name, f.kind, p.values[f]); err != nil {
			return err
		}
	}
	metrics.WriteProcessMetrics(w)
	return nil
}

// addService adds what one service does.
func (p *page) addService(s *node.Status) {
	p.add(&acceptedRequests, float64(s.Requests), s.Name)
	p.add(&attemptsInFlight, float64(s.AttemptsInFlight), s.Name)
	p.add(&concurrencyLimit, s.ConcurrencyLimit, s.Name)
	p.add(&servers, float64(s.AvailableServers), s.Name, "up")
	p.add(&servers, float64(s.Servers-s.AvailableServers), s.Name, "other")
	p.add(&idleConnections, float64(s.IdleConnections), s.Name)
	p.add(&restarts, float64(s.Restarts), s.Name)
	for _, c := range s.HardLimits {
		p.add(&storeLends, oneIf(c.CanBorrow), s.Name, c.StoreName)
		p.add(&storeOwnQuota, oneIf(c.UsesOwnQuota), s.Name, c.StoreName)
		p.add(&storeLeasedUnits, c.LeasedUnits, s.Name, c.StoreName)
		p.add(&storeQueuedRequests, float64(c.QueuedRequests), s.Name, c.StoreName)
		p.add(&storeCalls, float64(c.Calls), s.Name, c.StoreName)
	}
	if h := s.HTTP2; h != nil {
		p.add(&sharedConnections, float64(h.Connections), s.Name)
		p.add(&streams, float64(h.Streams), s.Name, "open")
		p.add(&streams, float64(h.FreeStreams), s.Name, "room")
		p.add(&streamWaits, float64(h.Waiting), s.Name)
		p.add(&fallbackServers, float64(h.FallbackServers), s.Name)
	}
	if s.Resources == nil {
		return
	}
	p.add(&moduleTime, s.Resources.ModuleTime, s.Name)
	for _, l := range []struct {
		name string
		use  limits.Usage
	}{{"descriptors", s.Resources.Descriptors}, {"held", s.Resources.Requests}, {"bytes", s.Resources.BufferedBytes}, {"dials", s.Resources.Dials}} {
		p.add(&resourceUsed, float64(l.use.Used), s.Name, l.name)
		p.add(&resourceGuaranteed, float64(l.use.Guaranteed), s.Name, l.name)
		p.add(&resourceDenied, float64(l.use.Denied), s.Name, l.name)
	}
}

// addCounts adds what came of a service's requests and attempts, by class.
func (p *page) addCounts(name string, counts *service.RequestCounts) {
	counts.Each(func(class string, n *service.ClassCounts) {
		for i, outcome := range service.Outcomes {
			p.add(&requests, float64(n.Requests[i].Load()), name, class, outcome)
		}
		for i, outcome := range service.Reasons {
			p.add(&attempts, float64(n.Attempts[i].Load()), name, class, outcome)
		}
		noRoom := n.ResourceLimited.Load()
		p.add(&rejections, float64(noRoom), name, class, "no_room")
		p.add(&rejections, float64(max(n.Requests[1].Load(), noRoom)-noRoom), name, class, "decision")
	})
}

// Handler answers scrapes of a source.
func Handler(of Source) http.Handler {
	places := make(chan struct{}, maxScrapes)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			http.Error(w, "too many scrapes at once", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_ = Write(w, of) // whoever has left hears nothing
	})
	return mux
}

// Serve answers scrapes on a listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, of Source) error {
	srv := &http.Server{
		Handler: Handler(of), ReadHeaderTimeout: scrapeTimeout, ReadTimeout: scrapeTimeout, WriteTimeout: 2 * scrapeTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(accept.Persistently(l, accept.Metrics)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("telling metrics: %w", err)
	}
	return nil
}
