// Package route finds the service for a request by its host, path, method, class and headers. Package
// front uses a Router for each request, and package config checks the rules of a configuration with it.
//
// Of the rules that match a request the most specific one wins. The criteria are, in this order:
//
//  1. host: an exact one, then the wildcard with the longest suffix, then any;
//  2. path: an exact one, then the longest prefix, then any;
//  3. method: a named one, then any;
//  4. class: a named one, then any;
//  5. headers: more conditions, then more of them with a value;
//  6. the text of the sorted header conditions: the one that sorts first.
//
// No two rules of a Router are equal in all of these, so the order is total and does not depend on the
// order in the configuration.
//
// Hosts and paths are matched in a canonical form, see CanonicalHost and CanonicalPath. The package does
// no I/O. A Router does not change once it has been made, and is safe for concurrent use.
package route
