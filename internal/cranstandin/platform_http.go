package cranstandin

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// clientHeader is the request header with the name of the client.
const clientHeader = "X-Client"

// appendRequest is the body of an append.
type appendRequest struct {
	Payloads [][]byte `json:"payloads"`
}

// appendResponse is the response to an append.
type appendResponse struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// listResponse is the response to a request for the list of instances.
type listResponse struct {
	Instances []cranplatform.Instance `json:"instances"`
}

// ledgerResponse is the response to a request for the ledger.
type ledgerResponse struct {
	Entries []LedgerEntry `json:"entries"`
}

// countersResponse is the response to a request for the log's counters.
type countersResponse struct {
	Streams []StreamCounters `json:"streams"`
}

// expireRequest is the body of a call that drops the records of a stream below
// an offset.
type expireRequest struct {
	Stream string `json:"stream"`
	Before uint64 `json:"before"`
}

// emptyResponse is the response to a call that returns nothing.
type emptyResponse struct{}

// newPlatformHandler returns the HTTP handler of a platform.
func newPlatformHandler(p *Platform) http.Handler {
	e := newEcho()
	e.POST("/streams/:stream/records", handle(p.serveAppend))
	e.GET("/streams/:stream/records", handle(p.serveRead))
	e.GET("/instances", handle(p.serveInstances))
	e.POST("/instances", handle(p.serveAdd))
	e.DELETE("/instances/:id", handle(p.serveRemove))
	e.POST("/actions", handle(p.serveAct))
	e.GET("/actions/:id", handle(p.serveActionStatus))
	e.GET("/faults", handle(p.serveFaults))
	e.PUT("/faults", handle(p.serveSetFaults))
	e.GET("/ledger", handle(p.serveLedger))
	e.GET("/truth", handle(p.serveActualInstances))
	e.POST("/expire", handle(p.serveExpire))
	e.GET("/counters", handle(p.serveCounters))
	e.GET("/health", handle(serveHealth))
	return e
}

func (p *Platform) serveAppend(c echo.Context) (appendResponse, error) {
	stream, err := pathValue(c, "stream")
	if err != nil {
		return appendResponse{}, err
	}
	body, err := decodeBody[appendRequest](c, maxAppendBody)
	if err != nil {
		return appendResponse{}, err
	}
	first, err := p.LogForClient(clientOf(c)).Append(c.Request().Context(), stream, body.Payloads)
	return appendResponse{First: first, Next: first + uint64(len(body.Payloads))}, err
}

func (p *Platform) serveRead(c echo.Context) (cranplatform.Batch, error) {
	stream, err := pathValue(c, "stream")
	if err != nil {
		return cranplatform.Batch{}, err
	}
	query, err := decodeReadQuery(c.QueryParams())
	if err != nil {
		return cranplatform.Batch{}, err
	}
	log := p.LogForClient(clientOf(c))
	return log.Read(c.Request().Context(), stream, query.from, query.max, query.waitMs)
}

func (p *Platform) serveInstances(c echo.Context) (listResponse, error) {
	instances, err := p.FleetForClient(clientOf(c)).Instances(c.Request().Context())
	return listResponse{Instances: instances}, err
}

func (p *Platform) serveActualInstances(echo.Context) (listResponse, error) {
	return listResponse{Instances: p.fleet.ActualInstances()}, nil
}

func (p *Platform) serveAdd(c echo.Context) (emptyResponse, error) {
	instance, err := decodeBody[cranplatform.Instance](c, maxSmallBody)
	if err != nil {
		return emptyResponse{}, err
	}
	return emptyResponse{}, p.fleet.Add(instance, nil)
}

func (p *Platform) serveRemove(c echo.Context) (emptyResponse, error) {
	id, err := pathValue(c, "id")
	if err != nil {
		return emptyResponse{}, err
	}
	if c.QueryParam("abrupt") == "true" {
		return emptyResponse{}, p.fleet.Lose(id)
	}
	return emptyResponse{}, p.fleet.Remove(id)
}

func (p *Platform) serveAct(c echo.Context) (cranplatform.ActionStatus, error) {
	action, err := decodeBody[cranplatform.Action](c, maxSmallBody)
	if err != nil {
		return cranplatform.ActionStatus{}, err
	}
	err = p.FleetForClient(clientOf(c)).Act(c.Request().Context(), action)
	return cranplatform.ActionStatus{Known: true}, err
}

func (p *Platform) serveActionStatus(c echo.Context) (cranplatform.ActionStatus, error) {
	id, err := pathValue(c, "id")
	if err != nil {
		return cranplatform.ActionStatus{}, err
	}
	return p.FleetForClient(clientOf(c)).ActionStatus(c.Request().Context(), id)
}

func (p *Platform) serveFaults(echo.Context) (Faults, error) { return p.Faults(), nil }

func (p *Platform) serveSetFaults(c echo.Context) (Faults, error) {
	faults, err := decodeBody[Faults](c, maxSmallBody)
	if err != nil {
		return Faults{}, err
	}
	if err := p.SetFaults(faults); err != nil {
		return Faults{}, err
	}
	return p.Faults(), nil
}

func (p *Platform) serveLedger(echo.Context) (ledgerResponse, error) {
	return ledgerResponse{Entries: p.fleet.Ledger()}, nil
}

func (p *Platform) serveExpire(c echo.Context) (emptyResponse, error) {
	body, err := decodeBody[expireRequest](c, maxSmallBody)
	if err != nil {
		return emptyResponse{}, err
	}
	p.log.Expire(body.Stream, body.Before)
	return emptyResponse{}, nil
}

func (p *Platform) serveCounters(echo.Context) (countersResponse, error) {
	return countersResponse{Streams: p.log.Counters()}, nil
}

func serveHealth(echo.Context) (emptyResponse, error) { return emptyResponse{}, nil }

// clientOf returns the client's name, or an empty string if it sent none.
func clientOf(c echo.Context) string { return c.Request().Header.Get(clientHeader) }

// readQuery is the decoded query string of a read.
type readQuery struct {
	from   uint64
	max    int
	waitMs int
}

// decodeReadQuery decodes the query string of a read. A missing waitMs is zero.
func decodeReadQuery(values url.Values) (readQuery, error) {
	from, fromErr := strconv.ParseUint(values.Get("from"), 10, 64)
	maxRecords, maxErr := strconv.ParseInt(values.Get("max"), 10, 32)
	wait := values.Get("waitMs")
	if wait == "" {
		wait = "0"
	}
	waitMs, waitErr := strconv.ParseInt(wait, 10, 32)
	if fromErr != nil || maxErr != nil || waitErr != nil {
		return readQuery{}, cranfault.New(cranfault.Malformed, "send from, max and waitMs as decimal numbers",
			"the query string of the read can't be decoded")
	}
	return readQuery{from: from, max: int(maxRecords), waitMs: int(waitMs)}, nil
}
