// Package wire defines the paths, error codes and JSON messages of the engines'
// HTTP protocol. The client and the stand-in engine share them.
package wire

// HeaderRateLimit is the header of an answer with the requests a second, a decimal number,
// that the upstream takes from all routers together. An answer to a request for work without
// it ends the limit.
const HeaderRateLimit = "Rate-Limit"

// HeaderRejectionLimit is the header of an answer with how many requests a second, a decimal
// number, the upstream may have to reject for want of room; with more it fails. An answer to
// a request for work without it ends the limit.
const HeaderRejectionLimit = "Rejection-Limit"

// HeaderLeaving is the header of an answer of an upstream that is leaving, with the value
// LeavingValue.
const (
	HeaderLeaving = "Leaving"
	LeavingValue  = "1"
)

// HeaderRest is the header of a 503 with the seconds, a decimal number, for which the upstream
// wants no requests of the router that it rejected.
const HeaderRest = "Retry-After"

// Paths of the protocol.
const (
	PathGenerate    = "/v1/generate"       // POST Generate -> stream of Line
	PathResume      = "/v1/streams/resume" // POST Resume -> stream of Line
	PathCancel      = "/v1/streams/cancel" // POST Cancel -> 204
	PathLoad        = "/v1/load"           // GET -> upstream.Load
	PathCacheEvents = "/v1/cache/events"   // GET ?after=N -> list of upstream.CacheEvent
	PathOrders      = "/v1/orders"         // POST upstream.DesiredState -> 202
	PathKV          = "/v1/kv/"            // GET or PUT; the prefix follows in hex
)

// ContentTypeLines is the media type of a body with one JSON value per line.
const ContentTypeLines = "application/x-ndjson"

// Codes in Problem.Error. All but the last three guarantee that the request was
// not run.
const (
	ErrorLeaving        = "leaving"          // 503
	ErrorFull           = "full"             // 503
	ErrorModelNotLoaded = "model_not_loaded" // 404
	ErrorMalformed      = "malformed"        // 400
	ErrorNoMemory       = "no_memory"        // 422: the desired state has more models than fit
	ErrorOldFence       = "old_fence"        // 409
	ErrorNoStream       = "no_such_stream"   // 404
	ErrorStreamExists   = "stream_exists"    // 409
)

// Problem is the body of every response with a status other than 2xx.
type Problem struct {
	Error            string `json:"error"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// Generate is the request that starts a stream.
type Generate struct {
	StreamID  string `json:"stream_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Priority  int    `json:"priority"` // the lowest value runs first
}

// Resume is the request that continues a stream from a position.
type Resume struct {
	StreamID string `json:"stream_id"`
	From     int64  `json:"from"`
}

// Cancel is the request that ends a stream.
type Cancel struct {
	StreamID string `json:"stream_id"`
}

// Line is one line of a stream: a token, or the final line with the usage.
type Line struct {
	StreamID     string `json:"stream_id"`
	Position     int64  `json:"position"`
	Text         string `json:"text"`
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Usage is the token usage of a stream.
type Usage struct {
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	OutputTokens int64 `json:"output_tokens"`
}
