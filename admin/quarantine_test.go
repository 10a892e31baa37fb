package admin

import (
	"testing"

	"github.com/matryer/is"

	"buckthornridge/quarantine"
	"buckthornridge/store"
)

// Guards against a request that stays refused after its upstreams were mended: an operator
// sees it and releases it, and teams without fleet do neither.
func TestOperatorReleasesQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	guard := quarantine.NewGuard(nil)
	f := quarantine.Request{Workspace: "studio-colombo"}.Fingerprint()
	var crashes []quarantine.Crash
	for i := range 3 {
		crashes = append(crashes, quarantine.Crash{Fingerprint: f, Process: quarantine.Process(i)})
	}
	guard.Table().Adopt(quarantine.Record{Crashes: crashes})
	value, err := quarantine.Encode(guard.Table().Record())
	is.NoErr(err)
	_, err = env.fake.As("vm-1").Table.Commit(t.Context(), store.Txn{
		Writes: []store.Write{{Key: quarantine.Key("vm-1"), Value: value}},
	})
	is.NoErr(err)
	_, err = env.client(studios).Quarantine(t.Context())
	is.True(err != nil)
	_, err = env.client(viewer).Release(t.Context(), f.String())
	is.True(err != nil)
	reply, err := env.client(operator).Quarantine(t.Context())
	is.NoErr(err)
	is.Equal(reply.Entries, []quarantine.Entry{{Fingerprint: f.String(), Crashes: 3, Quarantined: true}})
	_, err = env.client(operator).Release(t.Context(), f.String())
	is.NoErr(err)
	reply, err = env.client(operator).Quarantine(t.Context())
	is.NoErr(err)
	is.Equal(len(reply.Entries), 0)
	_, err = env.client(operator).Release(t.Context(), f.String())
	is.True(err != nil)
}
