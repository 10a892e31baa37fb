package platform

import (
	"buckthornridge/settings"
	"buckthornridge/store"
)

// Settings are the contents of the stand-in's settings file.
type Settings struct {
	// Address is the host:port to listen on.
	Address string `json:"address"`
	// Seed seeds the random choice of faults that are injected at a rate.
	Seed uint64 `json:"seed"`
	// Weights lists the contents of the weight store.
	Weights []WeightSettings `json:"weights"`
	// WeightBytesPerSecond limits the weight store's total rate over all downloads;
	// 0 means no limit.
	WeightBytesPerSecond Count `json:"weight_bytes_per_second"`
	FaultSettings
}

// WeightSettings is the settings form of store.Weight.
type WeightSettings struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   Count  `json:"bytes"`
}

// FaultSettings is the form of store.Faults in the settings file and in /debug/faults.
type FaultSettings struct {
	Down            bool              `json:"down"`
	Cut             []string          `json:"cut"`
	Silent          bool              `json:"silent"`
	Latency         settings.Duration `json:"latency"`
	LoseNext        Count             `json:"lose_next"`
	LoseRate        Fraction          `json:"lose_rate"`
	DelayNext       Count             `json:"delay_next"`
	DelayRate       Fraction          `json:"delay_rate"`
	Delay           settings.Duration `json:"delay"`
	WritesPerSecond Rate              `json:"writes_per_second"`
	ReadsPerSecond  Rate              `json:"reads_per_second"`
	CountRows       bool              `json:"count_rows"`
	VMListLag       settings.Duration `json:"vm_list_lag"`
	VMListFrozen    bool              `json:"vm_list_frozen"`
}

// DefaultSettings returns the settings of a platform without faults and with the
// platform's rate limits on reads and writes.
func DefaultSettings() Settings {
	return Settings{
		Address:       "127.0.0.1:7000",
		Seed:          1,
		FaultSettings: FaultSettings{WritesPerSecond: 600, ReadsPerSecond: 2000},
	}
}

func (s Settings) weights() []store.Weight {
	var weights []store.Weight
	for _, w := range s.Weights {
		weights = append(weights, store.Weight{Model: w.Model, Version: w.Version, Bytes: int64(w.Bytes)})
	}
	return weights
}

func faultSettings(f store.Faults) FaultSettings {
	return FaultSettings{
		Down: f.Down, Cut: append([]string{}, f.PartitionedVMs...), Silent: f.Silent, Latency: settings.Duration(f.Latency),
		LoseNext: Count(f.LoseNext), LoseRate: Fraction(f.LoseRate),
		DelayNext: Count(f.DelayNext), DelayRate: Fraction(f.DelayRate), Delay: settings.Duration(f.Delay),
		WritesPerSecond: Rate(f.WritesPerSecond), ReadsPerSecond: Rate(f.ReadsPerSecond), CountRows: f.CountRows,
		VMListLag: settings.Duration(f.VMListLag), VMListFrozen: f.VMListFrozen,
	}
}

func (s FaultSettings) faults() store.Faults {
	return store.Faults{
		Down: s.Down, PartitionedVMs: s.Cut, Silent: s.Silent, Latency: s.Latency.D(),
		LoseNext: int(s.LoseNext), LoseRate: float64(s.LoseRate),
		DelayNext: int(s.DelayNext), DelayRate: float64(s.DelayRate), Delay: s.Delay.D(),
		WritesPerSecond: float64(s.WritesPerSecond), ReadsPerSecond: float64(s.ReadsPerSecond), CountRows: s.CountRows,
		VMListLag: s.VMListLag.D(), VMListFrozen: s.VMListFrozen,
	}
}
