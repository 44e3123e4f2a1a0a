/// JSON documents for jobs: parsing of submitted jobs, and the documents that
/// operators see. Stateless.
#ifndef SAVORYRING_LIBJOBS_JOB_DOCUMENTS_H_
#define SAVORYRING_LIBJOBS_JOB_DOCUMENTS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "libjobs/job_scheduler.h"
#include "libjobs/job_table.h"
#include "savoryring/estate.h"
#include "savoryring/time.h"

namespace savoryring {

/// Parses a submitted job and applies the settings of its queue. Throws Error
/// with every problem of the document (kUnknownQueue, kMalformedJob and the
/// codes of the JSON checker).
wire::JobSpec ReadJobDocument(const std::string& text, const Estate& estate);

/// State of the job and, for each step, the number of tasks in each state.
nlohmann::json JobToJson(const Job& job);

/// JobToJson() plus the current status of each step, with the reason why it
/// waits, and the history of the job with group times in ms.
nlohmann::json ExplainJob(const JobTable& table,
                          const JobScheduler& scheduler,
                          const Job& job,
                          TimePoint now);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_JOB_DOCUMENTS_H_
