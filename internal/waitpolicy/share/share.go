// Package share carries what instances have learned of a gatherer's parts over Redis servers: each
// writes its own under its own name, for a time, and reads some of the others'. It runs beside the
// queries and never in their way; without a server each instance goes on with what it knows itself.
package share

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/redis/go-redis/v9"

	"lockflow/internal/waitpolicy"
	"lockflow/internal/waitpolicy/pool"
)

//go:embed share.lua
var source string

var script = redis.NewScript(source)

// Bounds and defaults.
const (
	MaxStores      = 4
	MaxMembersRead = 16 // members in one exchange; others follow in the next
	DefaultEvery   = 5 * time.Second
	DefaultTerm    = time.Second
	lives          = 12 // exchanges after which what was told counts for nothing
)

// Store is one server.
type Store struct {
	Address  string
	Username string
	Password string
}

// Options are of one gatherer at one instance.
type Options struct {
	Stores []Store
	Name   string        // of the gatherer, the same at all instances; keys begin with it
	Self   string        // of the instance, its own in each process
	Every  time.Duration // between two exchanges, a quarter more or less; 0 is DefaultEvery
	Within time.Duration // that one call may take; 0 is DefaultTerm
	Seed   uint64
	Log    *slog.Logger // nil is the default
}

// Model is what learns; a *waitpolicy.Model is one.
type Model interface {
	Shared() ([]byte, error)
	Sketches() ([]waitpolicy.Key, []waitpolicy.Sketch)
	Fleet(all map[waitpolicy.Key]*waitpolicy.Sketch, trust float64)
}

// Sharer exchanges what a model has learned. Its methods are safe for concurrent use.
type Sharer struct {
	o       Options
	log     *slog.Logger
	rng     *rand.Rand
	clients []*redis.Client
	failed  []error
	begun   time.Time

	mu   sync.Mutex // what follows
	m    Model
	pool *pool.Pool
	st   Status
}

// Status is what an operator asks of it.
type Status struct {
	pool.Stats
	Exchanges uint64   `json:"exchanges"`
	Failures  uint64   `json:"failures"`
	Bytes     int      `json:"bytes"`   // written in the last exchange
	Failing   []string `json:"failing"` // addresses whose last call failed
}

// New makes one that connects once it runs.
func New(o Options, m Model) (*Sharer, error) {
	if len(o.Stores) == 0 || len(o.Stores) > MaxStores {
		return nil, fmt.Errorf("gather: %d stores; 1 to %d can be", len(o.Stores), MaxStores)
	}
	if o.Self == "" || len(o.Self) > pool.MaxIDBytes {
		return nil, fmt.Errorf("gather: an instance's name of %d bytes; 1 to %d can be", len(o.Self), pool.MaxIDBytes)
	}
	if o.Every <= 0 {
		o.Every = DefaultEvery
	}
	if o.Within <= 0 {
		o.Within = DefaultTerm
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	s := &Sharer{
		o: o, log: o.Log, m: m, rng: rand.New(rand.NewPCG(o.Seed, 0x7368617265)), failed: make([]error, len(o.Stores)), begun: time.Now(),
		pool: pool.New(pool.Options{Self: o.Self, Life: lives * o.Every, Every: o.Every}),
	}
	for _, at := range o.Stores {
		s.clients = append(s.clients, redis.NewClient(&redis.Options{
			Addr: at.Address, Username: at.Username, Password: at.Password, Protocol: 2, DisableIdentity: true,
			MaxRetries: -1, PoolSize: 1, MaxActiveConns: 1, MaxIdleConns: 1, ContextTimeoutEnabled: true,
			DialTimeout: o.Within, ReadTimeout: o.Within, WriteTimeout: o.Within, ConnMaxIdleTime: time.Minute, DialerRetries: 1,
		}))
	}
	return s, nil
}

// Use has another model take the place of the one there was, as after a reload.
func (s *Sharer) Use(m Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m = m
}

// Run exchanges now and then until the context ends, and closes the connections.
func (s *Sharer) Run(ctx context.Context) {
	defer func() {
		for _, c := range s.clients {
			_ = c.Close() // a connection pool
		}
	}()
	timer := time.NewTimer(time.Duration(s.rng.Int64N(int64(s.o.Every))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s.Exchange(ctx)
		quarter := int64(s.o.Every / 4)
		timer.Reset(s.o.Every + time.Duration(s.rng.Int64N(2*quarter+1)-quarter))
	}
}

// Exchange makes one exchange with each store, and tells the model what all others know. One is made
// at a time: Run calls it.
func (s *Sharer) Exchange(ctx context.Context) {
	s.mu.Lock()
	m := s.m
	s.mu.Unlock()
	value, err := m.Shared()
	if err != nil {
		s.log.Error("gather: what was learned can't be written", "gatherer", s.o.Name, "err", err)
		return
	}
	replies := make([][]string, len(s.clients))
	errs := make([]error, len(s.clients))
	var all sync.WaitGroup
	begin := s.rng.IntN(1 << 20)
	for i := range s.clients {
		all.Go(func() { replies[i], errs[i] = s.call(ctx, i, value, begin) })
	}
	all.Wait()
	now := time.Since(s.begun)
	s.mu.Lock()
	s.st.Exchanges++
	s.st.Bytes = len(value)
	s.st.Failing = nil
	for i, raw := range replies {
		if errs[i] == nil {
			s.pool.Answered(now)
			errs[i] = s.heard(now, raw)
		}
		if errs[i] != nil {
			s.st.Failures++
			s.st.Failing = append(s.st.Failing, s.o.Stores[i].Address)
		}
	}
	keys, own := m.Sketches()
	fleet, trust := s.pool.Merge(now, keys, own)
	s.mu.Unlock()
	m.Fleet(fleet, trust)
	for i, err := range errs {
		at := s.o.Stores[i].Address
		switch was := s.failed[i]; {
		case err != nil && was == nil && ctx.Err() == nil:
			s.log.Warn("gather: sharing what was learned failed", "gatherer", s.o.Name, "store", at, "err", err)
		case err == nil && was != nil:
			s.log.Info("gather: sharing works again", "gatherer", s.o.Name, "store", at)
		}
		s.failed[i] = err
	}
}

func (s *Sharer) call(ctx context.Context, store int, value []byte, begin int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Within)
	defer cancel()
	prefix := "{lockflow:" + s.o.Name + "}:gather"
	raw, err := script.Run(ctx, s.clients[store], []string{prefix, prefix + ":"}, s.o.Self, value,
		(lives * s.o.Every).Milliseconds(), MaxMembersRead, begin).StringSlice()
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", s.o.Stores[store].Address, err)
	}
	return raw, nil
}

var errAnswer = errors.New("gather: a store's answer can't be read")

// heard has the pool take an answer. What one member told that can't be read costs the others nothing.
func (s *Sharer) heard(now time.Duration, raw []string) error {
	if len(raw)%3 != 0 || len(raw) > 3*MaxMembersRead {
		return fmt.Errorf("%w: %d values", errAnswer, len(raw))
	}
	var first error
	for ; len(raw) > 0; raw = raw[3:] {
		age, err := strconv.ParseInt(raw[1], 10, 64)
		if err != nil || age < 0 || age > 1<<40 {
			err = fmt.Errorf("%w: an age of %q", errAnswer, raw[1])
		} else {
			err = s.pool.Heard(now, raw[0], time.Duration(age)*time.Millisecond, []byte(raw[2]))
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// Status is how it stands.
func (s *Sharer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.st
	st.Stats = s.pool.Stats()
	return st
}
