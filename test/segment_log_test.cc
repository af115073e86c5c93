// Segment log: reading, removal of files, and recovery after a power loss at
// any call.
#include "trayrock/internal/records/segment_log.h"

#include <set>

#include "test_support.h"
#include "volatile_disk.h"

namespace trayrock::testing {
namespace {

using contents = std::map<std::string, std::string>;

std::unique_ptr<segment_log> open_log(disk_files& files, contents& seen) {
  result<std::unique_ptr<segment_log>> log = segment_log::open(
      files, [&](std::string_view key, std::string_view value) {
        seen[std::string(key)] = std::string(value);
      });
  CPPUNIT_ASSERT(log.has_value());
  return std::move(log.value());
}

// Writes records durably and adds them to the index.
void write(segment_log& log, const std::vector<disk_record>& records) {
  const result<std::vector<record_location>> locations = log.append(records);
  CPPUNIT_ASSERT(locations.has_value());
  CPPUNIT_ASSERT(!log.sync());
  log.add_to_index(records, locations.value());
}

disk_record big(int number) {
  return {"key-" + std::to_string(number), std::string(100000, 'a')};
}

class segment_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(segment_log_test);
  CPPUNIT_TEST(record_is_read_back);
  CPPUNIT_TEST(long_record_is_read_back);
  CPPUNIT_TEST(record_of_any_size_is_one_read_of_the_disk);
  CPPUNIT_TEST(records_are_read_after_a_restart);
  CPPUNIT_TEST(later_record_of_a_key_is_read);
  CPPUNIT_TEST(file_is_removed_with_its_last_record);
  CPPUNIT_TEST(current_file_is_not_removed);
  CPPUNIT_TEST(file_with_records_that_are_not_indexed_yet_is_not_removed);
  CPPUNIT_TEST(file_emptied_while_it_was_the_newest_is_removed_later);
  CPPUNIT_TEST(file_is_sparse_once_less_than_half_of_it_is_in_use);
  CPPUNIT_TEST(nothing_synced_is_lost_at_any_loss_of_power);
  CPPUNIT_TEST(one_sync_covers_all_files_before_it);
  CPPUNIT_TEST(records_read_after_a_kill_survive_a_loss_of_power);
  CPPUNIT_TEST(files_of_another_format_are_rejected);
  CPPUNIT_TEST(file_with_another_header_is_rejected);
  CPPUNIT_TEST(damaged_record_is_not_returned);
  CPPUNIT_TEST_SUITE_END();

 public:
  void record_is_read_back() {
    volatile_disk disk(1);
    contents seen;
    const auto log = open_log(disk, seen);
    write(*log, {{"a", "one"}, {"b", "two"}});
    CPPUNIT_ASSERT_EQUAL(std::string("two"), log->read("b").value());
    CPPUNIT_ASSERT(!log->read("c").has_value());
  }

  void long_record_is_read_back() {
    volatile_disk disk(1);
    contents seen;
    const auto log = open_log(disk, seen);
    write(*log, {big(1)});
    CPPUNIT_ASSERT_EQUAL(big(1).value, log->read("key-1").value());
  }

  // Guards against a second read of each record that is longer than a guess.
  void record_of_any_size_is_one_read_of_the_disk() {
    volatile_disk disk(1);
    contents seen;
    {
      const auto log = open_log(disk, seen);
      write(*log, {{"before", "one"}, big(1)});
      log->read("key-1");
      CPPUNIT_ASSERT_EQUAL(1, disk.power().reads);
    }
    const auto reopened = open_log(disk, seen);
    reopened->read("key-1");
    CPPUNIT_ASSERT_EQUAL(2, disk.power().reads);
  }

  void records_are_read_after_a_restart() {
    volatile_disk disk(1);
    contents seen;
    {
      const auto log = open_log(disk, seen);
      write(*log, {{"a", "one"}});
      write(*log, {{"b", ""}});
    }
    const auto log = open_log(disk, seen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.size());
    CPPUNIT_ASSERT_EQUAL(std::string("one"), log->read("a").value());
    write(*log, {{"c", "three"}});
    CPPUNIT_ASSERT_EQUAL(std::string("three"), log->read("c").value());
  }

  void later_record_of_a_key_is_read() {
    volatile_disk disk(1);
    contents seen;
    {
      const auto log = open_log(disk, seen);
      write(*log, {{"state", "old"}});
      write(*log, {{"state", "new"}});
      CPPUNIT_ASSERT_EQUAL(std::string("new"), log->read("state").value());
    }
    const auto log = open_log(disk, seen);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), seen["state"]);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), log->read("state").value());
  }

  void file_is_removed_with_its_last_record() {
    volatile_disk disk(1);
    contents seen;
    const auto log = open_log(disk, seen);
    const std::vector<std::string> keys = fill_two_files(*log);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log->segments());
    log->erase(keys);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log->segments());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, disk.names().value().size());
    CPPUNIT_ASSERT(!log->read(keys.front()).has_value());
  }

  void current_file_is_not_removed() {
    volatile_disk disk(1);
    contents seen;
    const auto log = open_log(disk, seen);
    write(*log, {{"a", "one"}});
    const std::vector<std::string> all{"a"};
    log->erase(all);
    write(*log, {{"b", "two"}});
    CPPUNIT_ASSERT_EQUAL(std::string("two"), log->read("b").value());
  }

  // Guards against the loss of an acknowledged record: it is durable, in a file
  // whose other records expire before it is in the index.
  void file_with_records_that_are_not_indexed_yet_is_not_removed() {
    volatile_disk disk(1);
    contents seen;
    const auto log = open_log(disk, seen);
    write(*log, {{"old", "one"}});
    std::vector<disk_record> batch{{"durable", std::string(5U << 20, 'a')}};
    const auto locations = log->append(batch);
    CPPUNIT_ASSERT(locations.has_value());
    const std::vector<disk_record> next{{"next", "two"}};  // in another file
    CPPUNIT_ASSERT(log->append(next).has_value());
    CPPUNIT_ASSERT(!log->sync());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log->segments());

    const std::vector<std::string> expired{"old"};
    log->erase(expired);
    log->add_to_index(batch, locations.value());
    CPPUNIT_ASSERT(log->read("durable") == batch.front().value);
  }

  // Guards against files without a record that stay until the next start.
  void file_emptied_while_it_was_the_newest_is_removed_later() {
    volatile_disk disk(1);
    contents seen;
    const auto log = open_log(disk, seen);
    write(*log, {{"big", std::string(5U << 20, 'a')}});
    const std::vector<std::string> expired{"big"};
    log->erase(expired);
    write(*log, {{"next", "two"}});  // in another file
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log->segments());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, disk.names().value().size());
  }

  void file_is_sparse_once_less_than_half_of_it_is_in_use() {
    volatile_disk disk(1);
    contents seen;
    const auto log = open_log(disk, seen);
    const std::vector<std::string> keys = fill_two_files(*log);
    const std::size_t half = keys.size() / 2;
    log->erase({keys.data(), half});
    CPPUNIT_ASSERT(!log->is_sparse(keys.back()));
    log->erase({keys.data() + half, 1});
    CPPUNIT_ASSERT(log->is_sparse(keys.back()));
    CPPUNIT_ASSERT(!log->is_sparse(keys.front()));

    // Rewritten, its records no longer keep the file.
    for (std::size_t i = half + 1; i < keys.size(); ++i) {
      write(*log, {{keys[i], log->read(keys[i]).value()}});
    }
    CPPUNIT_ASSERT(disk.names().value().front() != "00000001.log");
    CPPUNIT_ASSERT_EQUAL(big(1).value, log->read(keys.back()).value());
  }

  // Loses power at each call that changes the disk, in a run that fills several
  // files, removes some and rewrites a key. All synced records must be read,
  // and no record that was not written.
  void nothing_synced_is_lost_at_any_loss_of_power() {
    constexpr int calls_per_run = 170;
    for (int lost_at = 0; lost_at < calls_per_run; ++lost_at) {
      volatile_disk disk(static_cast<std::uint64_t>(lost_at));
      disk.power().calls_left = lost_at;
      contents written;
      const contents synced = run_until_power_loss(disk, written);
      disk.restore();
      contents seen;
      const auto log = open_log(disk, seen);
      const std::string where = "power lost at call " + std::to_string(lost_at);
      for (const auto& [key, value] : synced) {
        TRAYROCK_CHECK(seen.contains(key), where << ": lost " << key);
        TRAYROCK_CHECK(log->read(key) == seen[key],
                       where << ": cannot read " << key);
      }
      for (const auto& [key, value] : seen) {
        TRAYROCK_CHECK(key == "state" || value == written[key],
                       where << ": never written: " << key);
      }
      TRAYROCK_CHECK(synced_state(synced) <= synced_state(seen),
                     where << ": state " << synced_state(seen)
                           << " is older than " << synced_state(synced));
      write(*log, {{"after", "restart"}});
      CPPUNIT_ASSERT_EQUAL(std::string("restart"), log->read("after").value());
    }
  }

  void one_sync_covers_all_files_before_it() {
    constexpr int records = 90;  // two files and part of a third
    volatile_disk disk(3);
    contents seen;
    {
      const auto log = open_log(disk, seen);
      for (int i = 0; i < records; ++i) {
        const std::vector<disk_record> one{big(i)};
        CPPUNIT_ASSERT(log->append(one).has_value());
      }
      CPPUNIT_ASSERT(!log->sync());
    }
    disk.restore();
    open_log(disk, seen);
    CPPUNIT_ASSERT_EQUAL(std::size_t{records}, seen.size());
  }

  // Guards against the loss of acknowledged records: a store acknowledges what
  // it read at its start, also if a killed process did not sync it.
  void records_read_after_a_kill_survive_a_loss_of_power() {
    constexpr std::uint64_t seeds = 50;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
      volatile_disk disk(seed);
      contents ignored;
      const std::vector<disk_record> unsynced{{"a", "one"}};
      CPPUNIT_ASSERT(open_log(disk, ignored)->append(unsynced).has_value());
      contents read_after_kill;
      open_log(disk, read_after_kill);
      disk.restore();
      contents read_after_power_loss;
      open_log(disk, read_after_power_loss);
      TRAYROCK_CHECK(read_after_kill == read_after_power_loss,
                     "seed " << seed << ": read " << read_after_kill.size()
                             << " records before the loss of power, then "
                             << read_after_power_loss.size());
    }
  }

  void files_of_another_format_are_rejected() {
    volatile_disk disk(1);
    disk.put("CURRENT", "MANIFEST-000002\n");
    const auto log =
        segment_log::open(disk, [](std::string_view, std::string_view) {});
    CPPUNIT_ASSERT(!log.has_value());
    CPPUNIT_ASSERT(log.error() == errc::disk_format);
  }

  void file_with_another_header_is_rejected() {
    volatile_disk disk(1);
    disk.put("00000001.log", "trayrock-records-9\nand so on");
    const auto log =
        segment_log::open(disk, [](std::string_view, std::string_view) {});
    CPPUNIT_ASSERT(!log.has_value());
    CPPUNIT_ASSERT(log.error() == errc::disk_format);
  }

  void damaged_record_is_not_returned() {
    volatile_disk disk(1);
    contents seen;
    std::string bytes;
    {
      const auto log = open_log(disk, seen);
      write(*log, {{"a", "one"}, {"b", "two"}});
      bytes = disk.open("00000001.log").value()->read_all().value();
    }
    bytes[bytes.size() - 1] = 'X';  // in the last value
    disk.put("00000001.log", bytes);
    contents after;
    const auto log = open_log(disk, after);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, after.size());
    CPPUNIT_ASSERT(!log->read("b").has_value());
  }

 private:
  // Fills one file and starts another; returns the keys in the first.
  static std::vector<std::string> fill_two_files(segment_log& log) {
    std::vector<std::string> keys;
    int number = 0;
    while (log.segments() < 2) {
      const disk_record next = big(++number);
      write(log, {next});
      if (log.segments() < 2) {
        keys.push_back(next.key);
      }
    }
    return keys;
  }

  static std::string synced_state(const contents& from) {
    const auto found = from.find("state");
    return found == from.end() ? std::string() : found->second;
  }

  // Returns the records that were synced and not erased before the power loss;
  // `written` receives all records that were passed to the log.
  static contents run_until_power_loss(volatile_disk& disk, contents& written) {
    contents ignored;
    const auto log = open_log(disk, ignored);
    contents synced;
    for (int i = 10; i < 90 && !disk.power().off; ++i) {
      // The values of the state sort in the order of writing.
      const std::vector<disk_record> batch{big(i),
                                           {"state", std::to_string(i)}};
      for (const disk_record& each : batch) {
        written[each.key] = each.value;
      }
      const auto locations = log->append(batch);
      const bool failed = static_cast<bool>(log->sync());
      if (disk.power().off || failed || !locations) {
        break;
      }
      log->add_to_index(batch, locations.value());
      for (const disk_record& each : batch) {
        synced[each.key] = each.value;
      }
      if (i >= 60) {
        const std::vector<std::string> old{"key-" + std::to_string(i - 50)};
        log->erase(old);
        synced.erase(old.front());
      }
    }
    return synced;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(segment_log_test);

}  // namespace
}  // namespace trayrock::testing
