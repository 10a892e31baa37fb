package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/testnet"
	"buckthornridge/upstream"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "upstream.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestSettingsErrorNamesPosition(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{`{"kind": "engin"}`, `upstream.jsonc:1:10: want "engine" or "service"`},
		{"{\n  \"engine\": {\"slots\": 0}}", "upstream.jsonc:2:23: want a whole number"},
		{`{"adress": "x"}`, `unknown key "adress" (did you mean "address"?)`},
		{`{"engine": {"models": ["a","b","c"]}}`, "3 models do not fit"},
		{`{"kind": "service", "service": {"name": ""}}`, "name"},
		{`{`, "upstream.jsonc:1:"},
	} {
		is := is.New(t)
		err := run(t.Context(), writeSettings(t, tt.text))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), tt.want)) // position and cause
	}
}

func TestEachKindServesUntilCancelled(t *testing.T) {
	for _, kind := range []string{"engine", "service"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			address := testnet.FreeAddress(t)
			path := writeSettings(t, fmt.Sprintf(`{
				"kind": %q, "address": %q, "leave_grace": "0s", // stop at once
				"engine": {"models": ["m"]},
			}`, kind, address))
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- run(ctx, path) }()
			is.NoErr(waitUntilServing(kind, address))
			stop()
			is.NoErr(<-done)
		})
	}
}

func waitUntilServing(kind, address string) error {
	transport := upstream.NewTransport()
	defer transport.CloseIdleConnections()
	var err error
	for range 400 {
		if kind == "engine" {
			_, err = upstream.NewEngine(address, transport).Load(context.Background())
		} else {
			_, err = upstream.NewService(address, transport).Do(context.Background(), upstream.Call{RequestID: "1", Method: "GET", Path: "/x"})
		}
		if err == nil {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return err
}
