Feature: A request that must not be repeated runs at most once
  A request with an idempotency key, such as a matrix entry or a reply letter, is
  dispatched to a runner at most once, whatever fails. A repeat gets the recorded
  answer, or "unknown".

  Scenario: A repeat of an answered key gets the recorded answer
    Given 2 entries and 1 worker with 2 slots
    When "first" is sent as POST "/orders/a" with key "k1" through "e1"
    And "again" is sent as POST "/orders/a" with key "k1" through "e2"
    Then "first" ends with status 200
    And "again" ends with the answer of "first"
    And the runners ran key "k1" once

  Scenario: The same key through two entries at once
    Given 2 entries and 2 workers with 4 slots
    When 20 callers send POST "/orders/a?work_s=0.2" with key "k2" through all entries at once
    Then the runners ran key "k2" once
    And at least one of them got status 200
    And the others got the same answer or outcome "unknown"

  Scenario: The entry is killed after it dispatched the request
    Given 2 entries and 1 worker with 2 slots
    When "first" is sent as POST "/orders/a?work_s=0.8" with key "k3" through "e1" in the background
    And the runners have started "first"
    And entry "e1" is killed
    And "again" is sent as POST "/orders/a?work_s=0.8" with key "k3" through "e2"
    Then "first" got no answer
    And "again" ends with outcome "unknown"
    And the runners ran key "k3" once
    When entry "e1" is started
    And "later" is sent as POST "/orders/a?work_s=0.8" with key "k3" through "e1"
    Then "later" ends with outcome "unknown"
    And the runners ran key "k3" once

  Scenario: The store is down when a claim is needed
    Given 1 entry and 1 worker with 2 slots
    When the table is down
    And "first" is sent as POST "/orders/a" with key "k4"
    Then "first" ends with outcome "not_run"
    And "first" has a Retry-After header
    And the runners never saw "first"
    When the table is up
    And "again" is sent as POST "/orders/a" with key "k4" until it runs
    Then "again" ends with status 200
    And the runners ran key "k4" once

  Scenario: The store's answer to a claim is lost
    Given 1 entry and 1 worker with 2 slots
    When the table loses the answers of the next 1 commits on claims
    And "first" is sent as POST "/orders/a" with key "k5"
    And "again" is sent as POST "/orders/a" with key "k5" until it runs
    Then "again" ends with status 200
    And the runners ran key "k5" once

  Scenario: Callers do not wait for a slow store
    Given 1 entry and 1 worker with 2 slots
    When the table is slow by 20 s
    And "first" is sent as POST "/orders/a" with key "k6"
    Then "first" ends with outcome "not_run"
    And the runners never saw "first"
    When "plain" is sent as POST "/orders/b"
    Then "plain" ends with status 200

  Scenario: A refused request releases its key
    Given 1 entry and 1 worker with 1 slot
    When "slow" is sent as POST "/orders/a?work_s=1.0" in the background
    And the runners have started "slow"
    And "first" is sent as POST "/orders/b" with key "k7" and a deadline of 150 ms
    Then "first" ends with outcome "not_run"
    And "slow" ends with status 200
    When "again" is sent as POST "/orders/b" with key "k7" until it runs
    Then "again" ends with status 200
    And the runners ran key "k7" once

  Scenario: The entry is killed before its claim is written
    Given 2 entries and 1 worker with 2 slots
    When the table holds "commit/claim"
    And "first" is sent as POST "/orders/a" with key "k8" through "e1" in the background
    And the table has received such a call
    And entry "e1" is killed
    And the table drops the held calls
    Then "first" got no answer
    And the runners never saw "first"
    When "again" is sent as POST "/orders/a" with key "k8" through "e2" until the store answers
    Then "again" ends with status 200
    And the runners ran key "k8" once

  Scenario Outline: The entry is killed between claim and dispatch
    Given 2 entries and 1 worker with 2 slots
    When the table <fault> "<calls>"
    And "first" is sent as POST "/orders/a" with key "k9" through "e1" in the background
    And the table has received such a call
    And entry "e1" is killed
    And the table executes the held calls
    Then "first" got no answer
    When entry "e1" is started
    And key "k9" is sent again as POST "/orders/a" through every entry, 3 times
    Then every repeat of "k9" ends with outcome "unknown"
    And the runners never saw key "k9"

    Examples:
      | fault                | calls              |
      | holds                | commit/claim       |
      | holds the answers to | commit/claim, read |

  Scenario Outline: The entry is killed after the answer, before it is recorded
    Given 2 entries and 1 worker with 2 slots
    When "first" is sent as POST "/orders/a?work_s=0.5" with key "k10" through "e1" in the background
    And the runners have started "first"
    And the table holds "commit/claim"
    Then "first" ends with status 200
    When the table has received such a call
    And entry "e1" is killed
    And the table <then> the held calls
    And entry "e1" is started
    And key "k10" is sent again as POST "/orders/a?work_s=0.5" through every entry, 2 times
    Then every repeat of "k10" ends with <end>
    And the runners ran key "k10" once

    Examples:
      | then        | end                   |
      | drops       | outcome "unknown"     |
      | executes    | the answer of "first" |

  Scenario: A caller retries repeatedly after "unknown", through every entry
    Given 3 entries and 2 workers with 2 slots
    When "cut" is sent as POST "/orders/a?work_s=1.0" with key "k11" in the background
    And the runners have started "cut"
    And the agent that serves "cut" is killed
    Then "cut" ends with outcome "unknown"
    When key "k11" is sent again as POST "/orders/a?work_s=1.0" through every entry, 5 times
    Then every repeat of "k11" ends with outcome "unknown"
    And the runners ran key "k11" once

  Scenario Outline: A fault hits the release of a refused request's key
    Given 2 entries and 1 worker with 1 slot
    When "slow" is sent as POST "/orders/a?work_s=2.0" in the background
    And the runners have started "slow"
    And "first" is sent as POST "/orders/b" with key "k12" and a deadline of 800 ms in the background
    And the table has a claim
    And the table <fault> "commit/claim"
    Then "first" ends with outcome "not_run"
    When the table has received such a call
    And the table works again
    Then "slow" ends with status 200
    When "again" is sent as POST "/orders/b" with key "k12" through "e2" until it runs
    Then "again" ends with status 200
    And the runners never saw "first"
    And the runners ran key "k12" once

    Examples:
      | fault                |
      | loses the answers to |
      | holds the answers to |
      | refuses              |
