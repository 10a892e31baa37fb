package node

import (
	"net/http"

	"buckthornridge/telemetry"
)

// withTracing starts a span for each request that has a traceparent header. Polls
// have none.
func withTracing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("traceparent") == "" {
			next.ServeHTTP(w, r)
			return
		}
		ctx := telemetry.ExtractHeader(r.Context(), r.Header)
		ctx, span := telemetry.StartSpan(ctx, "upstream "+r.URL.Path)
		defer span.End() // deferred because the handler may panic to abort the connection
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
