// Package telemetry sets up what every program reports: klog lines for changes
// of state, expvar counters, and one OpenTelemetry span for each hop of a
// request.
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

// Trace says where spans go; an empty one records none.
type Trace struct {
	// OTLP is the address, host:port, of a collector that takes OTLP over HTTP.
	OTLP string `json:"otlp"`
	// File takes spans as JSON, one a line; used when OTLP is empty.
	File string `json:"file"`
	// Ratio is the share of requests that are traced, from 0 to 1, unless the
	// caller's traceparent decides.
	Ratio float64 `json:"ratio"`
}

// Shutdown writes what is left and closes the exporter.
type Shutdown func(context.Context) error

// propagator carries the trace from hop to hop in the W3C format.
var propagator = propagation.TraceContext{}

// Start installs the tracer of a program.
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
		return eris.Wrap(err, "telemetry: shut down")
	}, nil
}

// exporter returns nil when no spans are wanted.
func (t Trace) exporter(ctx context.Context) (trace.SpanExporter, func(), error) {
	nothing := func() {}
	switch {
	case t.OTLP != "":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(t.OTLP), otlptracehttp.WithInsecure())
		return e, nothing, eris.Wrapf(err, "telemetry: OTLP exporter to %s", t.OTLP)
	case t.File != "":
		file, err := os.OpenFile(t.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nothing, eris.Wrap(err, "telemetry: open span file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return e, func() { file.Close() }, eris.Wrap(err, "telemetry: file exporter")
	}
	return nil, nothing, nil
}
