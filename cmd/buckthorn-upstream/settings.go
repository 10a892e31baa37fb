package main

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/config"
	"buckthornridge/settings"
	"buckthornridge/standin/engine"
	"buckthornridge/standin/node"
	"buckthornridge/standin/service"
	"buckthornridge/telemetry"
)

// processSettings is the content of the settings file of one stand-in upstream.
type processSettings struct {
	// ID identifies the upstream, as in the configuration folder.
	ID   string `json:"id"`
	Kind kind   `json:"kind"`
	// Address is the host:port to listen on and to announce.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Platform is the host:port of the platform, whose VM list the upstream is
	// announced in. If it is empty, the upstream is not announced.
	Platform     string            `json:"platform"`
	LeaveGrace   settings.Duration `json:"leave_grace"`
	DrainTimeout settings.Duration `json:"drain_timeout"`
	Trace        telemetry.Trace   `json:"trace"`
	Engine       engine.Settings   `json:"engine"`
	Service      service.Settings  `json:"service"`
}

// kind is the kind of upstream that the process simulates.
type kind config.UpstreamKind

// UnmarshalJSON rejects unknown kinds.
func (k *kind) UnmarshalJSON(data []byte) error {
	var text string
	_ = json.Unmarshal(data, &text) // on an error text is empty, which the switch rejects
	switch config.UpstreamKind(text) {
	case config.UpstreamEngine, config.UpstreamService:
		*k = kind(text)
		return nil
	}
	return eris.Errorf(`want "engine" or "service", found %s`, data)
}

func load(path string) (processSettings, error) {
	s := processSettings{
		ID:           "upstream-1",
		Kind:         kind(config.UpstreamEngine),
		Address:      "127.0.0.1:7101",
		LeaveGrace:   settings.Duration(3 * time.Second),
		DrainTimeout: settings.Duration(time.Minute),
		Engine:       engine.DefaultSettings(),
		Service:      service.DefaultSettings(),
	}
	err := settings.Load(path, &s)
	return s, err
}

func (s processSettings) upstream() (node.Upstream, error) {
	if config.UpstreamKind(s.Kind) == config.UpstreamService {
		return service.New(s.Service)
	}
	s.Engine.FirstEvent = time.Now().UnixMicro()
	return engine.New(s.ID, s.Engine)
}
