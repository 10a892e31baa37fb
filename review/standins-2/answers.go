package main

import (
	"fmt"
	"strings"
	"time"
)

// standardConfig is a configuration with a route of each kind that the cases use.
func standardConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "notes", "host": "shop.example", "pathPrefix": "/stream/once/", "routeType": "streaming", "timeoutMs": 15000, "targetLatencyMs": 400, "itlTargetMs": 400, "priority": 0, "service": "llm", "maxAttempts": 1, "sticky": true, "resumable": false},
			{"name": "captions", "host": "shop.example", "pathPrefix": "/stream/resume/", "routeType": "streaming", "timeoutMs": 15000, "targetLatencyMs": 400, "itlTargetMs": 400, "priority": 2, "service": "llm", "maxAttempts": 2, "sticky": true, "resumable": true},
			{"name": "orders", "host": "shop.example", "pathPrefix": "/order/", "routeType": "non_idempotent", "timeoutMs": 15000, "targetLatencyMs": 100, "priority": 2, "service": "app", "maxAttempts": 1},
			{"name": "status", "host": "shop.example", "pathPrefix": "/status/", "routeType": "idempotent", "timeoutMs": 15000, "targetLatencyMs": 100, "priority": 2, "service": "app", "maxAttempts": 2},
		},
		"services": []map[string]any{
			{"name": "llm", "healthPath": "/healthz", "maxConnections": 630, "runtime": map[string]any{"slots": 128, "kvCapacity": 698764, "kvTokenBytes": 18432, "linkMbps": 370000.0, "migrations": true, "stride": 5, "loadedModels": []any{map[string]any{"name": "m"}}}},
			{"name": "app", "healthPath": "/healthz", "maxConnections": 110},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "studio", "apiKeys": []string{"key-1"}, "priority": 1, "reserved": 9715238}},
	}
}

// checkAnswer sends one request and checks that an answer which looks whole is whole.
func (e *env) checkAnswer(edge int, path, id string, pieces int) {
	q := request{method: "POST", path: fmt.Sprintf("%s?pieces=%d", path, pieces), id: id, body: "hello", deadline: 14 * time.Second}
	kind := "application/octet-stream"
	if strings.HasPrefix(path, "/stream") {
		kind = "text/event-stream"
		q.header = map[string]string{"Model": "m", "Token-Usage": "100,300", "Prompt-Prefix": "ab12:40,cd" + fmt.Sprint(len(id)) + "f" + ":60"}
	}
	if path == "/status/" {
		q.method, q.body = "GET", ""
	}
	a := e.send(edge, q)
	var whole strings.Builder
	for n := 1; n <= pieces; n++ {
		whole.WriteString(piece(kind, id, n))
	}
	e.log("client id=%s status=%d complete=%t bytes=%d of=%d took=%s err=%v", id, a.status, a.complete, len(a.body), whole.Len(), a.took.Round(time.Millisecond), a.err)
	if a.status/100 == 2 && a.complete && a.body != whole.String() {
		e.breach("id=%s: a success that looks complete has %d of the answer's %d bytes", id, len(a.body), whole.Len())
	}
}
