package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// maxRecordBytes is the maximum size of a record of the log.
const maxRecordBytes = 1 << 20

// Handler serves p over HTTP with the protocol of hosting.Client.
func Handler(p *Platform) http.Handler {
	r := httprouter.New()
	r.POST("/log/:stream", p.serveAppend)
	r.GET("/log/:stream", p.serveRead)
	r.GET("/boxes", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		boxes, err := p.Boxes(r.Context())
		writeResult(w, boxes, err)
	})
	r.GET("/gone", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		names, err := p.GoneWorkers(r.Context())
		writeResult(w, names, err)
	})
	r.GET("/workers/:worker/tasks", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		tasks, err := p.Tasks(r.Context(), ps.ByName("worker"))
		writeResult(w, tasks, err)
	})
	r.POST("/workers/:worker/tasks", p.serveStart)
	r.POST("/workers/:worker/tasks/:token/renew", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		lease := time.Duration(parseNumber(r.URL.Query().Get("lease_ms"))) * time.Millisecond
		writeResult(w, struct{}{}, p.RenewTask(r.Context(), ps.ByName("worker"), parseNumber(ps.ByName("token")), lease))
	})
	r.POST("/workers/:worker/tasks/:token/checkpoint", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		progress, err := p.CheckpointTask(r.Context(), ps.ByName("worker"), parseNumber(ps.ByName("token")))
		writeResult(w, hosting.CheckpointAnswer{Progress: progress}, err)
	})
	r.DELETE("/workers/:worker/tasks/:token", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		writeResult(w, struct{}{}, p.StopTask(r.Context(), ps.ByName("worker"), parseNumber(ps.ByName("token"))))
	})
	return r
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	offset, err := p.Append(r.Context(), ps.ByName("stream"), data)
	writeResult(w, hosting.AppendAnswer{Offset: offset}, err)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	query := r.URL.Query()
	wait := time.Duration(parseNumber(query.Get("wait_ms"))) * time.Millisecond
	offset, limit := parseNumber(query.Get("offset")), int(parseNumber(query.Get("limit")))
	batch, err := p.Read(r.Context(), ps.ByName("stream"), offset, limit, wait)
	writeResult(w, batch, err)
}

func (p *Platform) serveStart(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var spec hosting.TaskSpec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes)).Decode(&spec); err != nil {
		writeResult(w, nil, err)
		return
	}
	writeResult(w, struct{}{}, p.StartTask(r.Context(), spec))
}

// parseNumber parses a decimal number. It returns zero for anything else, which all calls reject or
// treat as unset.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeResult(w http.ResponseWriter, value any, err error) {
	if err == nil {
		jsonhttp.Write(w, http.StatusOK, value)
		return
	}
	status := http.StatusConflict
	if errors.Is(err, ErrDown) || errors.Is(err, ErrAnswerLost) {
		status = http.StatusServiceUnavailable
	}
	jsonhttp.Write(w, status, jsonhttp.ErrorBody{Error: err.Error()})
}
