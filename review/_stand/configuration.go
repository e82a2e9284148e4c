package main

import (
	"encoding/json"
	"time"
)

const (
	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"
	// serviceName is the service of most routes, and orderRoute with orderPrefix the route
	// of orders.
	serviceName = "orderdesk"
	orderRoute  = "emboss-order"
	orderPrefix = "/emboss/"
	// configurationVersion is the version of the only configuration of a case.
	configurationVersion = "00000007"
)

// rule is one route of the configuration.
type rule struct {
	name, prefix, service, kind string
	timeout, objective          time.Duration
	maxAttempts                 int
}

// configuration returns the operator's configuration with one host name.
func configuration(maxConns int, rules []rule) []byte {
	policy := make([]map[string]any, 0, len(rules))
	var clusters []map[string]any
	seen := make(map[string]bool)
	for _, r := range rules {
		policy = append(policy, map[string]any{
			"name": r.name, "route-kind": r.kind, "slo-latency-ms": r.objective.Milliseconds(), "priority": 1,
			"match":  map[string]any{"path-prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-ms": r.timeout.Milliseconds(), "max-attempts": r.maxAttempts},
		})
		if !seen[r.service] {
			seen[r.service] = true
			clusters = append(clusters, map[string]any{"name": r.service, "health-path": healthPath, "max-conns": maxConns})
		}
	}
	text, _ := json.Marshal(map[string]any{
		"version":   configurationVersion,
		"listeners": []map[string]any{{"host": hostName, "policy": policy}},
		"clusters":  clusters,
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000, "idle-timeout-ms": 30000},
	})
	return text
}
