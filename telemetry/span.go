package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracerName is the instrumentation scope of all spans.
const tracerName = "buckthornridge"

// traceparentField is the W3C header name, under which the propagator also reads
// and writes the trace context of a message.
const traceparentField = "traceparent"

// Attr returns a span attribute with a string value.
func Attr(key, value string) attribute.KeyValue { return attribute.String(key, value) }

// StartSpan starts the span of one hop. The caller ends it with EndSpan.
func StartSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attributes...))
}

// StartChildSpan starts a span if the context has a trace, and otherwise none. It
// is for work that also runs outside of requests, such as polling.
func StartChildSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, trace.SpanFromContext(ctx)
	}
	return StartSpan(ctx, name)
}

// EndSpan ends a span. A non-nil error sets the span's status.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// ExtractHeader extracts the caller's trace context from HTTP headers.
func ExtractHeader(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// InjectHeader adds the trace context to HTTP headers.
func InjectHeader(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// FromTraceparent extracts the trace context from the traceparent of a message.
func FromTraceparent(ctx context.Context, traceparent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{traceparentField: traceparent})
}

// Traceparent returns the trace context as a traceparent, or "" if there is none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceparentField]
}
