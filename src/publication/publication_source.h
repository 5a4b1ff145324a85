// The narrow interface through which a host reads what the platform publishes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/plugin_registry.h"
#include "kernel/result.h"
#include "publication/published_item.h"
#include "publication/store_revision.h"

namespace burdockwheel::publication {

enum class ReadFailure {
  kUnreachable,  // no whole answer came in time
  kRefused,      // the platform turned the call away; nothing was done
  kHistoryGone,  // the changes after the revision are no longer kept
  kTooLarge,     // there are more changes than one answer may hold
  kMalformed,    // the answer could not be read
};

// Returns a short fixed name, such as "history-gone".
std::string_view ReadFailureName(ReadFailure failure);

// Some of the items, in the order of their names. The pages of one listing are
// not taken at the same moment.
struct ListPage {
  std::vector<PublishedItem> items;
  bool has_more = false;
  std::string last_name;   // where the next page begins
  StoreRevision revision;  // of the platform when the page was taken
};

// Changes in the order in which they were made.
struct ChangeBatch {
  std::vector<Change> changes;
  StoreRevision revision;  // up to which the changes are complete
};

// Reads without blocking; each handler is called once, never from within the
// call that it was given to.
class PublicationSource {
 public:
  // 0.2 s of a link of 10 Mbit/s. What compresses to a tenth, as documents do,
  // is too large beyond it to be sent to each of 36 peers (IsWorthTelling).
  static constexpr std::size_t kLargeAnswerBytes = std::size_t{256} * 1024;

  using ListHandler =
      std::function<void(kernel::Result<ListPage, ReadFailure>)>;
  using ChangeHandler =
      std::function<void(kernel::Result<ChangeBatch, ReadFailure>)>;

  virtual ~PublicationSource() = default;

  // Reads the page that begins after the item `after`; the first if it is
  // empty.
  virtual void ReadPage(const std::string& after, ListHandler handler) = 0;

  // Reads the changes after the revision. Waits for the first one for at most
  // `wait`; an empty batch says that there was none.
  virtual void ReadChanges(const StoreRevision& after_revision,
                           std::chrono::milliseconds wait,
                           ChangeHandler handler) = 0;

  // Called once for each answer of which kLargeAnswerBytes have arrived and
  // that is not whole yet.
  virtual void SetLargeAnswerHook(std::function<void()> hook) = 0;

  // Drops the reads under way and their connections. Their handlers are not
  // called.
  virtual void Reset() = 0;
};

// The kinds of platform that a host can read; the argument after the context is
// the platform's IP number and port.
using PublicationSourceRegistry =
    kernel::PluginRegistry<PublicationSource, boost::asio::io_context&,
                           const std::string&>;

}  // namespace burdockwheel::publication
