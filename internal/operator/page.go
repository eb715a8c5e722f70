package operator

import (
	"encoding/hex"
	"html/template"
	"net/http"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// maxPageRecords bounds the number of audit records shown on the page.
const maxPageRecords = 200

// pageData is the input of pageTemplate, which reads its fields by name. AskedBy is
// the requester that the rules file names for a rule.
type pageData struct {
	Status  *pb.StatusResponse
	Lines   []tarragonwell.RuleLine
	Records []tarragonwell.AuditRecord
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>tarragonwell {{.Status.Instance}}</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 2px 8px; text-align: left; vertical-align: top; }
code { white-space: pre-wrap; }
</style></head><body>
<h1>Instance {{.Status.Instance}}</h1>
<p>State {{.Status.State}}, data centre {{.Status.DataCenter}},
rules revision {{.Status.RulesRevision}}, digest {{.Status.RulesDigest}}.</p>
{{if .Status.Refusal}}<p><strong>Revision {{.Status.RefusedRevision}} was refused:</strong> <code>{{.Status.Refusal}}</code></p>{{end}}
{{range .Status.Drains}}<p><strong>Data centre {{.DataCenter}} is drained</strong> ({{.Source}}{{if .AskedBy}}, asked for by {{.AskedBy}}{{end}}): {{.Targets}} targets affected.</p>
{{end}}<h2>Rules in force</h2>
<table><tr><th>Line</th><th>Rule</th><th>Asked for by</th></tr>
{{range .Lines}}<tr><td>{{.Number}}</td><td><code>{{.Text}}</code></td><td>{{.AskedBy}}</td></tr>
{{end}}</table>
<h2>Changes, latest first</h2>
<table><tr><th>Time</th><th>Change</th><th>Revision</th><th>Asked for by</th><th>Learnt from</th><th>Detail</th></tr>
{{range .Records}}<tr><td>{{.Time.UTC.Format "2006-01-02 15:04:05.000"}}</td><td>{{.Event}}</td><td>{{if .Revision}}{{.Revision}}{{end}}</td><td>{{.AskedBy}}</td><td>{{.LearntFrom}}</td><td><code>{{.Detail}}</code></td></tr>
{{end}}</table>
</body></html>
`))

// servePage writes a printable page with the rules in force, who asked for each of
// them, and the latest audit records.
func (s *Server) servePage(w http.ResponseWriter, r *http.Request) {
	records, err := s.trail.Records(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data := pageData{
		Status: s.state.Status(r.Context()),
	}
	if set := s.state.Rules(); set != nil {
		data.Lines = set.Lines
	}
	for n := len(records) - 1; n >= 0 && len(data.Records) < maxPageRecords; n-- {
		data.Records = append(data.Records, records[n])
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = pageTemplate.Execute(w, data)
}

func formatDigest(v tarragonwell.RulesVersion) string {
	return hex.EncodeToString(v.Digest)
}
