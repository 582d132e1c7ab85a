# Reads results of tools/experiment and prints a table: each variant against `base`, by a paired t
# test at 5 % (two-sided). Draws the differences into the file `plot` if that is set.

# The critical value of Student's t for 5 %, by degrees of freedom (standard tables; between two rows
# the larger value).
function critical(freedom) {
  if (freedom < 1) return 1e9
  split("12.706 4.303 3.182 2.776 2.571 2.447 2.365 2.306 2.262 2.228", small, " ")
  if (freedom <= 10) return small[freedom]
  return freedom < 15 ? 2.228 : freedom < 20 ? 2.131 : freedom < 30 ? 2.086 : freedom < 60 ? 2.042 : 2.000
}

!($1 in seen) { seen[$1] = 1; order[++count] = $1 }
{
  worth[$1, $2, $3] = $4
  play[$2, $3] = 1
  plays[$1]++
  sum[$1] += $4
  failed[$1] += $5
  late[$1] += $6
  broken[$1] += $7
}

END {
  print "| variant | plays | worth | difference | deviation | failed | late | rules broken | verdict |"
  print "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
  for (index_ = 1; index_ <= count; ++index_) {
    name = order[index_]
    pairs = total = squares = 0
    for (key in play) {
      split(key, parts, SUBSEP)
      if (!((name, parts[1], parts[2]) in worth) || !((base, parts[1], parts[2]) in worth)) continue
      difference = worth[name, parts[1], parts[2]] - worth[base, parts[1], parts[2]]
      ++pairs
      total += difference
      squares += difference * difference
      points[name] = points[name] " " difference
    }
    mean = pairs > 0 ? total / pairs : 0
    spread = pairs > 1 ? (squares - pairs * mean * mean) / (pairs - 1) : 0
    deviation = spread > 0 ? sqrt(spread) : 0
    verdict = "cannot tell"
    if (name == base) verdict = "compared with"
    else if (pairs > 1 && deviation == 0 && mean == 0) verdict = "the same"
    else if (pairs > 1 && (deviation == 0 || (mean < 0 ? -mean : mean) / (deviation / sqrt(pairs)) > critical(pairs - 1)))
      verdict = mean > 0 ? "better" : "worse"
    printf "| %s | %d | %.4f | %+.4f | %.4f | %d | %d | %d | %s |\n", name, plays[name], sum[name] / plays[name], mean, deviation, failed[name], late[name], broken[name], verdict
  }
  if (plot != "") draw()
}

# One row a variant, one dot a pair; the line in the middle is no difference.
function draw(    row, width, name, values, total, place, x, most, height) {
  most = 0.01
  for (name in points) {
    total = split(points[name], values, " ")
    for (place = 1; place <= total; ++place) {
      x = values[place] < 0 ? -values[place] : values[place]
      if (x > most) most = x
    }
  }
  width = 640
  height = 30 * count + 30
  printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", width + 160, height >plot
  printf "<line x1=\"%d\" y1=\"0\" x2=\"%d\" y2=\"%d\" stroke=\"#888\"/>\n", 160 + width / 2, 160 + width / 2, height - 20 >plot
  printf "<text x=\"160\" y=\"%d\">%+.3f</text><text x=\"%d\" y=\"%d\">%+.3f worth</text>\n", height - 5, -most, width + 80, height - 5, most >plot
  for (row = 1; row <= count; ++row) {
    name = order[row]
    printf "<text x=\"4\" y=\"%d\">%s</text>\n", 30 * row, name >plot
    total = split(points[name], values, " ")
    for (place = 1; place <= total; ++place) {
      printf "<circle cx=\"%.1f\" cy=\"%d\" r=\"3\" fill=\"#246\" fill-opacity=\"0.4\"/>\n", 160 + width / 2 + values[place] / most * width / 2, 30 * row - 4 >plot
    }
  }
  print "</svg>" >plot
}
