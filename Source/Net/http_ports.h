#pragma once

#include <chrono>
#include <string>

#include "chestnuthead/object_store.h"
#include "chestnuthead/table_service.h"
#include "chestnuthead/vm_list.h"

#include "Net/worker_pool.h"

/// The platform's ports over HTTP and JSON, as docs/platform.md describes them.
/// Calls run on a worker pool, which must outlive them.
namespace chestnuthead {

/// Where the platform is and how long to wait for it.
struct platform_settings {
  /// IP number and port.
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
