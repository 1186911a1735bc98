package httpapi

import (
	"strconv"

	"github.com/labstack/echo/v4"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

// okAnswer returns the answer to a successful request that submits no work.
func okAnswer() api.Answer {
	a := api.NewAnswer(code.OK, "")
	a.Truth = api.NoWork
	return a
}

// getConfig returns the current configuration of this VM.
func (s *Server) getConfig(c echo.Context) error {
	if _, err := s.requireOperator(c); err != nil {
		return s.sendError(c, err)
	}
	document, number := s.cell.Document()
	a := api.ConfigAnswer{Answer: okAnswer(), Number: number, Document: document, Unconfirmed: s.cell.Unconfirmed()}
	return s.send(c, &a.Answer, &a)
}

// postConfig publishes a new configuration version, or only checks it in a dry run.
func (s *Server) postConfig(c echo.Context) error {
	sender, err := s.requireOperator(c)
	if err != nil {
		return s.sendError(c, err)
	}
	var r api.PatchRequest
	if err := s.decode(c, &r); err != nil {
		return s.sendError(c, err)
	}
	difference, err := s.previewPatch(&r)
	if err != nil {
		return s.sendError(c, err)
	}
	if r.DryRun {
		_, number := s.cell.Document()
		a := api.PatchAnswer{Answer: okAnswer(), Number: number, Difference: difference}
		return s.send(c, &a.Answer, &a)
	}
	a := s.cell.Publish(c.Request().Context(), sender.Identity, r.Patch)
	return s.send(c, &a.Answer, &a)
}

// previewPatch applies the patch to the current configuration and returns the
// difference. The patch is checked again when its record is applied in log order, because
// another operator may publish first.
func (s *Server) previewPatch(r *api.PatchRequest) ([]byte, error) {
	document, number := s.cell.Document()
	if r.Base != number {
		return nil, code.New(code.StaleBase, "the patch is against version %d, the current one is %d", r.Base, number)
	}
	next, err := r.Apply(document)
	if err != nil {
		return nil, code.New(code.BadPatch, "%v", err)
	}
	if evacuated := next.EvacuatedSince(document); len(evacuated) > 0 {
		cell := s.cell.Cell()
		for _, name := range evacuated {
			if !cell.HasDataCentre(name) {
				return nil, code.New(code.NoDataCentre, "there is neither a worker nor an entry VM in data centre %q", name)
			}
		}
	}
	return config.Diff(document, next)
}

// getVersions returns the configuration history, starting with the version in the query
// parameter from.
func (s *Server) getVersions(c echo.Context) error {
	if _, err := s.requireOperator(c); err != nil {
		return s.sendError(c, err)
	}
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil && c.QueryParam("from") != "" {
		return s.sendError(c, code.New(code.BadRequest, "from is no version number"))
	}
	a := api.HistoryAnswer{Answer: okAnswer(), Versions: s.cell.History(from)}
	return s.send(c, &a.Answer, &a)
}

// getCell returns the state of the cell as this entry VM knows it.
func (s *Server) getCell(c echo.Context) error {
	if _, err := s.requireOperator(c); err != nil {
		return s.sendError(c, err)
	}
	a := s.cell.Cell()
	return s.send(c, &a.Answer, &a)
}
