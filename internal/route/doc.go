// Package route selects the service for a request by its host, path, method, class and headers. Package
// front uses a Router for each request, and package config checks the rules of a configuration with it.
//
// Of the rules that match a request, the most specific one is selected. The criteria are, in this order:
//
//  1. host: exact, then the wildcard with the longest suffix, then no condition;
//  2. path: exact, then the longest prefix, then no condition;
//  3. method: a condition, then none;
//  4. class: a condition, then none;
//  5. headers: the most conditions, then the most conditions with a value;
//  6. the text of the sorted header conditions: the one that sorts first.
//
// No two rules of a Router that match the same request are equal in all of these, so the selection does not depend
// on the order of the rules in the configuration.
//
// Hosts and paths are matched in a canonical form; see CanonicalHost and CanonicalPath. The package does
// no I/O. A Router is immutable and safe for concurrent use.
package route
