package report

import (
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

func drawer(c *vgsvg.Canvas) draw.Canvas { return draw.New(c) }
