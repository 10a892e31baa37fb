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

// processSettings are the settings file of one stand-in upstream.
type processSettings struct {
	// ID names the upstream, as in the operators' folder.
	ID   string `json:"id"`
	Kind kind   `json:"kind"`
	// Address to listen on and to announce, host:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Platform is the platform's address, host:port, for the VM list; empty
	// announces the upstream to nobody.
	Platform     string            `json:"platform"`
	LeaveGrace   settings.Duration `json:"leave_grace"`
	DrainTimeout settings.Duration `json:"drain_timeout"`
	Trace        telemetry.Trace   `json:"trace"`
	Engine       engine.Settings   `json:"engine"`
	Service      service.Settings  `json:"service"`
}

// kind is the kind of upstream that the process stands in for.
type kind config.UpstreamKind

// UnmarshalJSON refuses unknown kinds.
func (k *kind) UnmarshalJSON(data []byte) error {
	var text string
	_ = json.Unmarshal(data, &text) // the switch refuses what is no string
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
