package entry

import (
	"context"

	"github.com/emicklei/go-restful/v3"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// evacuationHandler returns a handler that evacuates a data centre, or takes it back.
func (e *Entry) evacuationHandler(evacuated bool) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		ctx, cancel := context.WithTimeout(r.Request.Context(), operatorTimeout)
		defer cancel()
		environment := r.PathParameter("environment")
		before, next, record, err := e.options.Editor.SetEvacuated(ctx, environment, r.PathParameter("data-centre"), evacuated)
		e.finishEdit(w, environment, before, next, record, err)
	}
}

// evacuatedDataCentres returns the set of evacuated data centres, or nil if there are none.
func evacuatedDataCentres(d *document.Document) (evacuated map[string]bool) {
	if d == nil {
		return nil
	}
	for _, dc := range d.DataCentres {
		if dc.Evacuated {
			if evacuated == nil {
				evacuated = map[string]bool{}
			}
			evacuated[dc.Name] = true
		}
	}
	return evacuated
}

// allEvacuated reports whether the document evacuates all data centres.
func (e *Entry) allEvacuated() bool {
	d := e.options.Holder.Document()
	return d != nil && len(d.DataCentres) > 0 && len(evacuatedDataCentres(d)) == len(d.DataCentres)
}

// followEvacuations logs each change of the evacuated data centres and routes requests accordingly,
// until ctx ends.
func (e *Entry) followEvacuations(ctx context.Context) {
	var before map[string]bool
	for {
		changed := e.options.Holder.Changed()
		current := e.options.Holder.Current()
		evacuated := evacuatedDataCentres(current.Document())
		for name := range evacuated {
			if !before[name] {
				e.log.Info("data centre evacuated", "name", name, "revision", current.Revision())
			}
		}
		for name := range before {
			if !evacuated[name] {
				e.log.Info("data centre taken back", "name", name, "revision", current.Revision())
			}
		}
		if len(before)+len(evacuated) > 0 {
			_ = e.loop.Do(e.publishRoutes)
		}
		e.options.Metrics.EvacuatedDataCentres.Set(float64(len(evacuated)))
		before = evacuated
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
