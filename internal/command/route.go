package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"lockflow/internal/config"
	"lockflow/internal/protocol"
	"lockflow/internal/route"
)

// routeCommand returns the command "route".
func routeCommand() command {
	var headers []string
	return command{
		name:    "route",
		group:   groupFiles,
		summary: "tells which service a request is for, and why",
		args:    "--config FILE --host HOST --path PATH [--method METHOD] [--header 'K: V']...",
		examples: []string{
			"lockflow route --config deploy/lockflow.toml --host care.example --path /plans/7",
			"lockflow route --config deploy/lockflow.toml --host care.example --path /visit-update --method POST --json",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			path := set.String("config", "", "`FILE` of the configuration")
			host := set.String("host", "", "`HOST` as the client writes it")
			target := set.String("path", "", "`PATH` or whole target as the client writes it")
			method := set.String("method", http.MethodGet, "`METHOD` of the request")
			asJSON := set.Bool("json", false, `prints {"service":...,"route":...}`)
			set.Func("header", "`'K: V'` of the request; may be given again", func(s string) error {
				if !strings.Contains(s, ":") {
					return fmt.Errorf("header %q has no colon", s)
				}
				headers = append(headers, s)
				return nil
			})
			return func(_ context.Context, e *Env, args []string) error {
				if *path == "" {
					*path = e.Getenv("LOCKFLOW_CONFIG")
				}
				if *path == "" || *target == "" || len(args) > 0 {
					return usageError("route takes --config FILE (or LOCKFLOW_CONFIG), --path PATH, and no arguments")
				}
				return explainRoute(e, *path, *host, *target, *method, headers, *asJSON)
			}
		},
	}
}

// explainRoute prints the service and route of a request, whose target and host it parses as the front does.
func explainRoute(e *Env, file, host, target, method string, headers []string, asJSON bool) error {
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	authority, raw, err := route.SplitTarget(target)
	if err != nil {
		return fmt.Errorf("path %q: %w", target, err)
	}
	if authority == "" {
		authority = host
	}
	path, err := route.CanonicalPath(raw)
	if err != nil {
		return fmt.Errorf("path %q: %w", target, err)
	}
	if host, err = route.CanonicalHost(authority); err != nil {
		return fmt.Errorf("host %q: %w", authority, err)
	}
	header := make(http.Header)
	for _, h := range headers {
		k, v, _ := strings.Cut(h, ":")
		header.Add(strings.TrimSpace(k), strings.Trim(v, " \t"))
	}
	var rules []route.Rule
	for _, r := range cfg.Routes {
		rules = append(rules, r.Rule)
	}
	router, _ := route.New(rules) // can't fail: config.Load has checked the rules
	matches := router.Explain(host, path, method, header)
	if len(matches) == 0 {
		if asJSON {
			fmt.Fprintln(e.Out, `{"service":null,"route":null}`)
		}
		fmt.Fprintln(e.Err, "no route")
		return errReported
	}
	selected := cfg.Routes[matches[0].Index]
	class := selected.RequestClass
	if class == "" {
		class = classOf(cfg, selected.Service, method, path)
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(map[string]any{
			"service": selected.Service, "route": selected.Name, "class": class,
			"host": host, "path": path, "why": matches[0].Conditions,
		})
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\t%s\nroute\t%s\nclass\t%s\nread as\t%s %s%s\nwhy\t%s\n", selected.Service, selected.Name, class, method, host,
		path, strings.Join(matches[0].Conditions, ", "))
	for _, m := range matches[1:] {
		r := cfg.Routes[m.Index]
		fmt.Fprintf(w, "before\t%s (%s): %s\n", r.Name, r.Service, strings.Join(m.Conditions, ", "))
	}
	return w.Flush()
}

// classOf returns the class of a request whose route names none.
func classOf(cfg config.Config, service, method, path string) string {
	for _, s := range cfg.Services {
		switch {
		case s.Name != service || s.HTTP == nil:
		case protocol.IsSafeMethod(method):
			return config.ClassRead
		default:
			return config.ClassWrite
		}
	}
	return route.FirstSegment(path)
}
