// The store's compare-and-swap decides between concurrent edits. The current
// table is archived before it is replaced, so every former table is in the
// history. An edit whose answer was lost is therefore found by its change id
// either in the current table or in the history, as revision
// base_revision + 1.
//
// After a write with an unknown outcome the table is read again. If it is still
// the base, the same bytes are written with the same expected store revision:
// if the first write takes effect late, the second one conflicts, and the
// change id shows that the conflicting write is its own.
#include "chivedale/table_editor.h"

#include <algorithm>
#include <utility>

#include "chivedale/table_codec.h"

namespace chivedale {
namespace {

constexpr char kTableKey[] = "table";
constexpr char kHistoryPrefix[] = "table_history/";
// An edit fails after this many unanswered calls; each call is bounded by the
// timeout of the port.
constexpr int kMaxTries = 3;
// A table of 500 rows takes about 250 KB, so the history takes about 25 MB.
constexpr uint64_t kHistoryKept = 100;

std::string HistoryKey(uint64_t revision) {
  return kHistoryPrefix + std::to_string(revision);
}

// One edit in progress. Its callbacks keep it alive until it is done.
class Edit : public std::enable_shared_from_this<Edit> {
 public:
  Edit(StorePort& store,
       util::WallTime now,
       const TableEdit& edit,
       std::function<void(EditResult)> done)
      : store_(store),
        base_revision_(edit.base_revision),
        next_(edit.table),
        done_(std::move(done)) {
    next_.revision = edit.base_revision + 1;
    next_.change_id = edit.change_id;
    next_.author = edit.author;
    next_.changed_at = now;
  }

  void Run() {
    std::vector<std::string> faults = ValidateTable(next_);
    if (next_.change_id.empty()) {
      faults.insert(faults.begin(),
                    "table, column change_id: value is missing");
    }
    if (!faults.empty()) {
      std::string text;
      for (const std::string& fault : faults) {
        text += (text.empty() ? "" : "\n") + fault;
      }
      Fail(ErrorKind::kBadTable, text);
      return;
    }
    text_ = TableToJson(next_);
    ReadCurrent();
  }

 private:
  void ReadCurrent() {
    store_.Get(kTableKey, [self = shared_from_this()](const StoreResult& r) {
      self->OnCurrent(r);
    });
  }

  void OnCurrent(const StoreResult& result) {
    if (result.status == StoreStatus::kNotFound) {
      current_ = Table();
      current_store_revision_ = 0;
      Compare();
      return;
    }
    if (result.status != StoreStatus::kOk || result.entries.empty()) {
      Retry(&Edit::ReadCurrent);
      return;
    }
    try {
      current_ = ParseTable(result.entries.front().value);
    } catch (const Error& error) {
      Fail(ErrorKind::kInternal,
           std::string("the table in the store is invalid: ") + error.what());
      return;
    }
    current_text_ = result.entries.front().value;
    current_store_revision_ = result.entries.front().revision;
    Compare();
  }

  void Compare() {
    if (current_.change_id == next_.change_id) {
      Succeed(current_);
    } else if (current_.revision == base_revision_) {
      ArchiveCurrent();
    } else if (current_.revision > base_revision_) {
      ReadArchivedRevision();
    } else {
      Conflict();
    }
  }

  // A later edit may have replaced the table after this edit took effect.
  void ReadArchivedRevision() {
    store_.Get(HistoryKey(base_revision_ + 1),
               [self = shared_from_this()](const StoreResult& result) {
                 self->OnArchivedRevision(result);
               });
  }

  void OnArchivedRevision(const StoreResult& result) {
    if (result.status == StoreStatus::kUnavailable) {
      Retry(&Edit::ReadArchivedRevision);
      return;
    }
    if (result.status == StoreStatus::kOk && !result.entries.empty()) {
      try {
        const Table archived = ParseTable(result.entries.front().value);
        if (archived.change_id == next_.change_id) {
          Succeed(archived);
          return;
        }
      } catch (const Error&) {
        // This edit wrote a valid table, so the entry is from another edit.
      }
    }
    Conflict();
  }

  void ArchiveCurrent() {
    if (current_.revision == 0) {
      Write();
      return;
    }
    store_.Put(HistoryKey(current_.revision), current_text_, 0,
               [self = shared_from_this()](const StoreResult& result) {
                 if (result.status == StoreStatus::kUnavailable) {
                   self->Retry(&Edit::ArchiveCurrent);
                 } else {
                   self->Write();
                 }
               });
  }

  void Write() {
    store_.Put(kTableKey, text_, current_store_revision_,
               [self = shared_from_this()](const StoreResult& result) {
                 if (result.status == StoreStatus::kOk) {
                   self->Succeed(self->next_);
                 } else if (result.status == StoreStatus::kUnavailable) {
                   self->Retry(&Edit::ReadCurrent);
                 } else {
                   self->ReadCurrent();
                 }
               });
  }

  void Retry(void (Edit::*step)()) {
    ++tries_;
    if (tries_ >= kMaxTries) {
      Fail(ErrorKind::kStoreDown,
           "the store does not answer; the change may still take effect; send "
           "it again with the same change id");
      return;
    }
    (this->*step)();
  }

  void Conflict() {
    EditResult result;
    result.error = ErrorKind::kTableConflict;
    result.detail =
        "the edit is based on revision " + std::to_string(base_revision_) +
        ", but the table is at revision " + std::to_string(current_.revision);
    result.table = current_;
    done_(result);
  }

  void Succeed(const Table& table) {
    EditResult result;
    result.ok = true;
    result.table = table;
    done_(result);
    if (table.revision > kHistoryKept) {
      DeleteHistoryEntry(table.revision - kHistoryKept);
    }
  }

  void DeleteHistoryEntry(uint64_t revision) {
    const std::string key = HistoryKey(revision);
    store_.Get(key, [self = shared_from_this(), key](const StoreResult& r) {
      if (r.status == StoreStatus::kOk && !r.entries.empty()) {
        self->store_.Delete(key, r.entries.front().revision,
                            [](const StoreResult&) {});
      }
    });
  }

  void Fail(ErrorKind kind, const std::string& detail) {
    EditResult result;
    result.error = kind;
    result.detail = detail;
    done_(result);
  }

  StorePort& store_;
  const uint64_t base_revision_;
  Table next_;
  std::string text_;
  std::function<void(EditResult)> done_;
  Table current_;
  std::string current_text_;
  uint64_t current_store_revision_ = 0;
  int tries_ = 0;
};

// Reads the current table and then its predecessors one by one.
class HistoryRead : public std::enable_shared_from_this<HistoryRead> {
 public:
  using Done = std::function<void(StoreStatus, std::vector<Table>)>;

  HistoryRead(StorePort& store, int limit, Done done)
      : store_(store),
        limit_(static_cast<size_t>(std::max(limit, 0))),
        done_(std::move(done)) {}

  void Run() { Read(kTableKey); }

 private:
  void Read(const std::string& key) {
    if (tables_.size() >= limit_) {
      done_(StoreStatus::kOk, std::move(tables_));
      return;
    }
    store_.Get(key, [self = shared_from_this()](const StoreResult& result) {
      self->OnRead(result);
    });
  }

  void OnRead(const StoreResult& result) {
    if (result.status == StoreStatus::kUnavailable) {
      done_(StoreStatus::kUnavailable, {});
      return;
    }
    if (result.status != StoreStatus::kOk || result.entries.empty()) {
      done_(StoreStatus::kOk, std::move(tables_));
      return;
    }
    try {
      tables_.push_back(ParseTable(result.entries.front().value));
    } catch (const Error&) {
      done_(StoreStatus::kOk, std::move(tables_));
      return;
    }
    if (tables_.back().revision <= 1) {
      done_(StoreStatus::kOk, std::move(tables_));
      return;
    }
    Read(HistoryKey(tables_.back().revision - 1));
  }

  StorePort& store_;
  const size_t limit_;
  Done done_;
  std::vector<Table> tables_;
};

}  // namespace

struct TableEditor::Impl {
  const util::Clock& clock;
  StorePort& store;
};

TableEditor::TableEditor(const util::Clock& clock, StorePort& store)
    : impl_(new Impl{clock, store}) {}

TableEditor::~TableEditor() = default;

void TableEditor::Apply(const TableEdit& edit,
                        std::function<void(EditResult)> done) {
  std::make_shared<Edit>(impl_->store, impl_->clock.WallNow(), edit,
                         std::move(done))
      ->Run();
}

void TableEditor::History(
    int limit,
    std::function<void(StoreStatus, std::vector<Table>)> done) {
  std::make_shared<HistoryRead>(impl_->store, limit, std::move(done))->Run();
}

}  // namespace chivedale
