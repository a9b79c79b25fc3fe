// Status of a member for operators, as text and JSON.
#ifndef CELL_STATUS_PAGE_H_
#define CELL_STATUS_PAGE_H_

#include <string>

#include "cell/node.h"
#include "chivedale/http_server.h"

namespace chivedale::cell {

// Serves /metrics (counters), /status (leadership, executors, number of jobs)
// and /jobs/ID (steps of a job, on the leader). Other targets give 404.
HttpResponse StatusPage(const CellNode& node, const std::string& target);

}  // namespace chivedale::cell

#endif  // CELL_STATUS_PAGE_H_
