package front

import (
	"strconv"

	"github.com/labstack/echo/v4"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
)

// okAnswer is the answer to a request that asks for no work.
func okAnswer() api.Answer {
	a := api.NewAnswer(code.OK, "")
	a.Truth = api.NoWork
	return a
}

// getConfig returns the configuration in force here.
func (f *Front) getConfig(c echo.Context) error {
	if _, err := f.operator(c); err != nil {
		return f.fail(c, err)
	}
	document, number := f.cell.Document()
	a := api.ConfigAnswer{Answer: okAnswer(), Number: number, Document: document, Unconfirmed: f.cell.Unconfirmed()}
	return f.send(c, &a.Answer, &a)
}

// patch proposes a configuration version, or checks one.
func (f *Front) patch(c echo.Context) error {
	who, err := f.operator(c)
	if err != nil {
		return f.fail(c, err)
	}
	var r api.PatchRequest
	if err := f.decode(c, &r); err != nil {
		return f.fail(c, err)
	}
	difference, err := f.tryPatch(&r)
	if err != nil {
		return f.fail(c, err)
	}
	if r.DryRun {
		_, number := f.cell.Document()
		a := api.PatchAnswer{Answer: okAnswer(), Number: number, Difference: difference}
		return f.send(c, &a.Answer, &a)
	}
	a := f.cell.Publish(c.Request().Context(), who.Identity, r.Patch)
	return f.send(c, &a.Answer, &a)
}

// tryPatch applies the patch to the configuration in force here. The log
// decides again, since another operator may come first.
func (f *Front) tryPatch(r *api.PatchRequest) ([]byte, error) {
	document, number := f.cell.Document()
	if r.Base != number {
		return nil, code.New(code.StaleBase, "the patch is against version %d, the current one is %d", r.Base, number)
	}
	next, err := r.Apply(document)
	if err != nil {
		return nil, code.New(code.BadPatch, "%v", err)
	}
	return config.Diff(document, next)
}

// versions returns the history for the board.
func (f *Front) versions(c echo.Context) error {
	if _, err := f.operator(c); err != nil {
		return f.fail(c, err)
	}
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil && c.QueryParam("from") != "" {
		return f.fail(c, code.New(code.BadRequest, "from is no version number"))
	}
	a := api.HistoryAnswer{Answer: okAnswer(), Versions: f.cell.History(from)}
	return f.send(c, &a.Answer, &a)
}

// getCell returns what this entry VM knows of the cell.
func (f *Front) getCell(c echo.Context) error {
	if _, err := f.operator(c); err != nil {
		return f.fail(c, err)
	}
	a := f.cell.Cell()
	return f.send(c, &a.Answer, &a)
}
