// Package customer identifies the customer of a request of generic HTTP by a header, a query
// parameter, a cookie or the client's address, and looks up the customer's plan in a file. Customers that
// the file does not name are limited in number; those beyond the limit share overflow buckets.
//
// Package front calls Directory.Identify for each request; package node loads and follows the file. The
// current time is an argument of all decisions.
package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lockflow/internal/hopheaders"
)

// Anonymous is the customer of a request that does not identify one.
const Anonymous = "anonymous"

const (
	maxNameBytes    = 256         // a longer name is hashed
	unknownIdleTime = time.Minute // after which an unknown customer may lose its place to another
	overflowBuckets = 64          // shared by the unknown customers beyond the limit
)

// Kind is the part of a request that identifies its customer.
type Kind int

// The kinds.
const (
	Header Kind = iota
	Query
	Cookie
	Address // of the client; for IPv6 its /64 network
)

// ipv6CustomerBits is the length of the IPv6 prefix that counts as one customer.
const ipv6CustomerBits = 64

// Identifier is one way to identify the customer of a request.
type Identifier struct {
	Kind Kind
	Name string // of the header, parameter or cookie
	// IsSecret uses a hash of the value as the customer's name, for values such as API keys that must
	// not be stored or shown.
	IsSecret bool
}

// nameOf returns the customer's name in a request, or "" if the request has none.
func (i Identifier) nameOf(r *http.Request, clientAddr func() netip.Addr) string {
	value := ""
	switch i.Kind {
	case Header:
		value = r.Header.Get(i.Name)
	case Query:
		value = queryValue(r.URL.RawQuery, i.Name)
	case Cookie:
		if cookie, err := r.Cookie(i.Name); err == nil {
			value = cookie.Value
		}
	case Address:
		return addressName(clientAddr())
	}
	if value != "" && (i.IsSecret || len(value) > maxNameBytes) {
		return HashedName(value)
	}
	return value
}

// queryValue returns the value of a query parameter. It is empty if the parameter is given twice, because
// the server could use either value.
func queryValue(rawQuery, name string) string {
	if !strings.Contains(rawQuery, name) && !strings.Contains(rawQuery, "%") {
		return "" // the common case without parsing
	}
	query, err := url.ParseQuery(rawQuery)
	if err != nil || len(query[name]) != 1 {
		return ""
	}
	return query[name][0]
}

// addressName returns the customer's name for an address.
func addressName(addr netip.Addr) string {
	if addr.Is6() {
		prefix, _ := addr.Prefix(ipv6CustomerBits) // the length is valid for IPv6
		return prefix.String()
	}
	return addr.String()
}

// HashedName returns the customer's name for a value that must not be stored or shown.
func HashedName(value string) string {
	sum := sha256.Sum256([]byte(value))
	return "sha256:" + hex.EncodeToString(sum[:16])
}

// Options configure how the customers of a service are identified.
type Options struct {
	Identifiers    []Identifier // tried in order; the first one with a name is used
	File           string       // path of the file that assigns plans to customers; "" if there is none
	DefaultPlan    string       // of customers that the file does not name
	MaxUnknown     int          // customers that are tracked without being in the file (configuration key strangers)
	TrustedProxies []netip.Prefix
}

// Directory identifies the customers of requests. Identify and NameCount are safe for concurrent use; Load
// and Follow must not be called by several goroutines at a time.
type Directory struct {
	Options
	plans      atomic.Pointer[map[string]string] // by customer, from the file in force; nil before it is loaded
	loadedFile os.FileInfo                       // of the last Load

	mu      sync.Mutex
	unknown *simplelru.LRU[string, time.Time] // time each unknown customer was last seen; nil if MaxUnknown is 0
}

// New returns a Directory that has not loaded its file yet.
func New(o Options) *Directory {
	d := &Directory{Options: o}
	if o.MaxUnknown > 0 {
		d.unknown, _ = simplelru.NewLRU[string, time.Time](o.MaxUnknown, nil) // fails only for a size of 0 or less
	}
	return d
}

// Identify returns the customer of a request and the customer's plan.
func (d *Directory) Identify(r *http.Request, now time.Time) (name, plan string) {
	for _, identifier := range d.Identifiers {
		if name = identifier.nameOf(r, func() netip.Addr { return d.clientAddr(r) }); name != "" {
			break
		}
	}
	if name == "" {
		return Anonymous, d.DefaultPlan
	}
	if plan, ok := d.planOf(name); ok {
		return name, plan
	}
	return d.nameOfUnknown(name, now), d.DefaultPlan
}

// clientAddr returns the address of the client of a request, behind trusted proxies.
func (d *Directory) clientAddr(r *http.Request) netip.Addr {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.IPv4Unspecified()
	}
	return hopheaders.ClientAddr(r.Header, peer.Addr(), d.TrustedProxies)
}

// nameOfUnknown returns the customer for a name that is not in the file: the name itself while the number of
// unknown customers allows it, else an overflow bucket. Without the limit, a flood of invented names would exhaust
// the memory for customers.
func (d *Directory) nameOfUnknown(name string, now time.Time) string {
	if d.unknown == nil {
		return overflowName(name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.unknown.Get(name); !known && d.unknown.Len() >= d.MaxUnknown {
		if _, lastUsed, ok := d.unknown.GetOldest(); ok && now.Sub(lastUsed) < unknownIdleTime {
			return overflowName(name)
		}
	}
	d.unknown.Add(name, now)
	return name
}

// overflowName returns the overflow bucket of a name.
func overflowName(name string) string {
	return "crowd-" + strconv.FormatUint(xxhash.Sum64String(name)%overflowBuckets, 10)
}
