// Package leasestore carries calls of quotalease.Holder to a Redis server, on which a script is the
// counter. It decides nothing, and sends no call twice.
package leasestore

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/redis/go-redis/v9"

	"lockflow/internal/quotalease"
)

//go:embed counter.lua
var source string

var script = redis.NewScript(source)

// Options are of one counter.
type Options struct {
	Address  string
	Username string
	Password string
	Name     string // of what is counted there, the same at all instances; keys begin with it
	Within   time.Duration
	Rules    quotalease.Rules
}

// Client asks one counter. It is safe for concurrent use.
type Client struct {
	o   Options
	rdb *redis.Client
	key []string
}

// New makes a client that connects once it is asked.
func New(o Options) *Client {
	return &Client{o: o, key: []string{"{lockflow:" + o.Name + "}"}, rdb: redis.NewClient(&redis.Options{
		Addr: o.Address, Username: o.Username, Password: o.Password, Protocol: 2, DisableIdentity: true,
		// The holder decides whether to ask again: a call that is sent twice would be two.
		MaxRetries: -1, PoolSize: 2, MaxActiveConns: 2, MaxIdleConns: 1, ContextTimeoutEnabled: true,
		DialTimeout: o.Within, ReadTimeout: o.Within, WriteTimeout: o.Within, ConnMaxIdleTime: time.Minute,
		DialerRetries: 1,
	})}
}

// Close ends its connections; calls that are out fail.
func (c *Client) Close() error { return c.rdb.Close() }

// Call makes one call, within the time that it has at the most.
func (c *Client) Call(ctx context.Context, q *quotalease.Call) (quotalease.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Within)
	defer cancel()
	// Of what it may send twice the first was not run: the server did not know the script.
	raw, err := script.Run(ctx, c.rdb, c.key, Args(q, c.o.Rules)...).StringSlice()
	if err != nil {
		return quotalease.Answer{}, fmt.Errorf("counter %s: %w", c.o.Address, err)
	}
	a, err := Parse(raw)
	if err != nil {
		return a, fmt.Errorf("counter %s: %w", c.o.Address, err)
	}
	a.Seq = q.Seq
	return a, nil
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Args are the script's arguments for a call.
func Args(q *quotalease.Call, r quotalease.Rules) []any {
	all := make([]any, 0, 9+5*len(q.Wants)+3*len(q.Gives))
	all = append(all, q.From, q.Counter, q.Echo.Microseconds(), number(q.Pledge), q.Seen, r.Term.Microseconds(), r.Pledge.Microseconds(), len(q.Wants))
	for _, w := range q.Wants {
		all = append(all, w.Key, number(w.Ceiling.Rate), number(w.Ceiling.Burst), number(w.Units), number(w.Need))
	}
	all = append(all, len(q.Gives))
	for _, g := range q.Gives {
		all = append(all, g.Key, g.Token, number(g.Units))
	}
	return all
}

var errAnswer = errors.New("its answer can't be read")

// Parse reads the script's answer.
func Parse(raw []string) (a quotalease.Answer, err error) {
	if len(raw) < 3 || len(raw)%3 != 0 || raw[0] == "" {
		return a, errAnswer
	}
	now, err := strconv.ParseInt(raw[1], 10, 64)
	if err != nil || now < 0 || now > 1<<52 {
		return a, fmt.Errorf("%w: time %q", errAnswer, raw[1])
	}
	a = quotalease.Answer{Counter: raw[0], Now: time.Duration(now) * time.Microsecond, Lends: raw[2] == "1"}
	for raw = raw[3:]; len(raw) > 0; raw = raw[3:] {
		g := quotalease.Grant{Key: raw[0]}
		if g.Token, err = strconv.ParseUint(raw[1], 10, 53); err != nil {
			return a, fmt.Errorf("%w: token %q", errAnswer, raw[1])
		}
		if g.Units, err = strconv.ParseFloat(raw[2], 64); err != nil || !(g.Units > 0 && g.Units < 1e15) {
			return a, fmt.Errorf("%w: %q units", errAnswer, raw[2])
		}
		a.Grants = append(a.Grants, g)
	}
	return a, nil
}
