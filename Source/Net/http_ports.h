#pragma once

#include <chrono>
#include <string>

#include "chestnuthead/object_store.h"
#include "chestnuthead/table_service.h"
#include "chestnuthead/vm_list.h"

#include "Net/worker_pool.h"

/// Implementations of the platform's ports (table service, object store, VM
/// list) over HTTP and JSON, as docs/platform.md describes them. Blocking calls
/// run on a worker pool, which must outlive these objects.
namespace chestnuthead {

/// Address of the platform and timeout of each call.
struct platform_settings {
  /// Numeric IP address and port.
  std::string address;
  std::chrono::milliseconds timeout{1'000};
};

class http_table_service : public table_service {
 public:
  http_table_service(worker_pool& workers, const platform_settings& settings);

  void submit(table_request request, std::function<void(table_reply)> done) override;

 private:
  worker_pool& workers;
  platform_settings settings;
};

class http_object_store : public object_store {
 public:
  http_object_store(worker_pool& workers, const platform_settings& settings);

  void put(std::string key, std::string value, std::function<void(object_reply)> done) override;
  void get(std::string key, std::function<void(object_reply)> done) override;

 private:
  worker_pool& workers;
  platform_settings settings;
};

class http_vm_list : public vm_list {
 public:
  http_vm_list(worker_pool& workers, const platform_settings& settings);

  void read(std::function<void(vm_list_reply)> done) override;

 private:
  worker_pool& workers;
  platform_settings settings;
};

}  // namespace chestnuthead
