package router

import (
	"crypto/tls"
	"net"

	"k8s.io/klog/v2"

	"buckthornridge/admin"
	"buckthornridge/certs"
	"buckthornridge/config"
	"buckthornridge/peer"
)

// openCerts loads the certificates named in the settings, which are reloaded while
// the router runs, and creates the peer client.
func (r *Router) openCerts() (err error) {
	if r.settings.TLS.Enabled() {
		if r.callerTLS, err = certs.Open(r.settings.TLS); err != nil {
			return err
		}
	}
	var client *tls.Config
	if r.settings.PeerTLS.Enabled() {
		if r.peerTLS, err = certs.Open(r.settings.PeerTLS); err != nil {
			return err
		}
		client = r.peerTLS.Client()
	}
	r.peers = peer.NewClient(client)
	return nil
}

// withTLS wraps a listener in TLS, unless store is nil.
func withTLS(l net.Listener, store *certs.Store) net.Listener {
	if store == nil {
		return l
	}
	return tls.NewListener(l, store.Server())
}

// buildConfig builds the watcher that follows the accepted configuration in the
// table or, while the table is unavailable, at other VMs.
func (r *Router) buildConfig() {
	r.watcher = config.NewWatcher(config.WatcherOptions{
		Table:     config.NewStore(r.services.Table),
		Peers:     config.RemotePeers(r.peers, r.settings.PeerListen, r.peerAddresses),
		OnAdvance: r.applyConfig,
	})
	config.Serve(r.peerSrv, r.watcher, r.peers)
	admin.ServeDrain(r.peerSrv, r.requestStop)
}

// peerAddresses returns the peer addresses of the known members, or those in the
// settings if there are none.
func (r *Router) peerAddresses() []string {
	var addresses []string
	for _, m := range r.members.view.Load().Members {
		if m.PeerAddress != "" {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return r.settings.Peers
	}
	return addresses
}

// snapshot returns the configuration in force, or nil if there is none yet.
func (r *Router) snapshot() *config.Snapshot { return r.watcher.Holder.Load() }

// applyConfig applies a new configuration to the modules that depend on it.
func (r *Router) applyConfig(s *config.Snapshot) {
	r.table.Update(s)
	r.pool.update(s)
	if err := r.routes.SetPolicy(s.Policy.Routing); err != nil {
		klog.Errorf("apply routing policy of configuration version %d: %v", s.Version, err)
	}
	if err := r.admission.update(s); err != nil {
		klog.Errorf("apply admission policy of configuration version %d: %v", s.Version, err)
	}
	r.members.setConfiguredLeaving(s)
}

// requestStop requests a planned stop.
func (r *Router) requestStop() { r.stopOnce.Do(func() { close(r.stopRequested) }) }

// StopRequested returns a channel that is closed when an operator requests a
// planned stop.
func (r *Router) StopRequested() <-chan struct{} { return r.stopRequested }
