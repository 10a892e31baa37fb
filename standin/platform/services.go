package platform

import (
	"net/http"

	"buckthornridge/store"
	"buckthornridge/store/wire"
)

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	message, ok := readRequest[wire.ReadRequest](w, r)
	if !ok {
		return
	}
	rows, err := s.servicesFor(r).Table.Read(r.Context(), message.Keys...)
	writeResult(w, wire.RowsResponse{Rows: rows}, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	message, ok := readRequest[wire.ScanRequest](w, r)
	if !ok {
		return
	}
	rows, err := s.servicesFor(r).Table.Scan(r.Context(), message.Prefix, message.After, message.Limit)
	writeResult(w, wire.RowsResponse{Rows: rows}, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	txn, ok := readRequest[store.Txn](w, r)
	if !ok {
		return
	}
	version, err := s.servicesFor(r).Table.Commit(r.Context(), txn)
	writeResult(w, wire.CommitResponse{Version: version}, err)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	names, err := s.servicesFor(r).Objects.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResult(w, wire.ObjectsResponse{Names: names}, err)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.servicesFor(r).Objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r, store.MaxObjectBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	err = s.servicesFor(r).Objects.Put(r.Context(), r.PathValue("name"), data)
	writeResult(w, wire.DoneResponse{Done: true}, err)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	err := s.servicesFor(r).Objects.Delete(r.Context(), r.PathValue("name"))
	writeResult(w, wire.DoneResponse{Done: true}, err)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	vms, asOf, err := s.servicesFor(r).VMs.List(r.Context())
	writeResult(w, wire.VMsResponse{VMs: vms, AsOf: asOf}, err)
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	vm, ok := readRequest[store.VM](w, r)
	if !ok {
		return
	}
	err := s.servicesFor(r).VMs.Announce(r.Context(), vm)
	writeResult(w, wire.DoneResponse{Done: true}, err)
}
