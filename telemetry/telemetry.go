// Package telemetry sets up OpenTelemetry tracing. Every program logs state
// changes with klog, publishes counters with expvar, and records one span for
// each hop of a request, which is the work of one process on it.
package telemetry

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Trace configures the export of spans. The zero value disables tracing.
type Trace struct {
	// OTLP is the address, host:port, of a collector that accepts OTLP over HTTP.
	OTLP string `json:"otlp"`
	// File is the path of a file to which spans are appended as JSON, one per
	// line. It is ignored if OTLP is set.
	File string `json:"file"`
	// Ratio is the sampled fraction of requests, from 0 to 1. The sampling
	// decision in a caller's traceparent takes precedence.
	Ratio float64 `json:"ratio"`
}

// Shutdown exports the remaining spans and closes the exporter.
type Shutdown func(context.Context) error

// propagator passes the trace context between hops in the W3C format.
var propagator = propagation.TraceContext{}

// Start installs the global tracer provider and propagator. Without an exporter
// no spans are recorded.
func Start(ctx context.Context, program, vm string, t Trace) (Shutdown, error) {
	otel.SetTextMapPropagator(propagator)
	exporter, closeFile, err := t.exporter(ctx)
	if err != nil || exporter == nil {
		return func(context.Context) error { return nil }, err
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(t.Ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", vm),
		)),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		closeFile()
		return eris.Wrap(err, "telemetry: shut down tracer provider")
	}, nil
}

// exporter returns the configured exporter and a function that closes its file.
// The exporter is nil if tracing is disabled.
func (t Trace) exporter(ctx context.Context) (trace.SpanExporter, func(), error) {
	noClose := func() {}
	switch {
	case t.OTLP != "":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(t.OTLP), otlptracehttp.WithInsecure())
		return e, noClose, eris.Wrapf(err, "telemetry: OTLP exporter to %s", t.OTLP)
	case t.File != "":
		file, err := os.OpenFile(t.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, noClose, eris.Wrap(err, "telemetry: open span file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return e, func() { file.Close() }, eris.Wrap(err, "telemetry: file exporter")
	}
	return nil, noClose, nil
}
