Feature: An accepted profile change is in force everywhere and never reverts

  Scenario: Two operators revise the same profile concurrently
    Given 2 entries and 1 worker with 1 slot
    When two operators revise the profile "counter" at the same version through both entries
    Then one of them wins and the other gets status 412
    And the winner's change is in force on every entry

  Scenario: A profile is assigned and retired concurrently
    Given 2 entries and 1 worker with 1 slot
    When operators assign and retire the same profile at once, 10 times
    Then no service holds a profile that is gone

  Scenario: A change while an entry restarts
    Given 2 entries and 1 worker with 1 slot
    When entry "e2" is killed
    And the profile "counter" is revised to promise 333 ms through "e1"
    And entry "e2" is started
    Then the change is in force on every entry
    And the change is in force on every agent

  Scenario: The store goes down just after the change was accepted
    Given 2 entries and 1 worker with 1 slot
    When the profile "counter" is revised to promise 444 ms through "e1"
    And the table is down
    Then the change is in force on "e1"
    And the change is in force on every agent
    And the change is in force on "e2" through agents

  Scenario: An entry that starts in the outage serves the newest version
    Given 2 entries and 1 worker with 1 slot
    When the profile "counter" is revised to promise 555 ms through "e1"
    And the change is in force on every agent
    And the table is down
    And entry "e2" is killed
    And entry "e2" is started
    Then the change is in force on "e2" through agents
    And "plain" sent as GET "/orders/a" through "e2" ends with status 200

  Scenario: The answer to an accepted change is lost
    Given 1 entry and 1 worker with 1 slot
    When the table loses the answers of the next 1 commits on profiles
    And the profile "counter" is revised to promise 666 ms through "e1"
    Then the revision was accepted
    And the change is in force on every entry

  Scenario: Two operators revise different profiles
    Given 2 entries and 1 worker with 1 slot
    Then two operators who revise different profiles at once both win, 5 times

  Scenario: An entry that was cut off comes back with an old version
    Given 2 entries and 2 workers with 1 slot, with relays to the table and entries
    When the link between "e2" and the table is cut
    And the link between "e2" and the agents is cut
    And the profile "counter" is revised to promise 777 ms through "e1"
    Then the change is in force on every agent
    When the agents' promises are recorded from now on
    And the link between "e2" and the agents is back
    Then the change is in force on "e2" through agents
    When the link between "e2" and the table is back
    And "plain" is sent as GET "/orders/a" through "e2"
    Then "plain" ends with status 200
    And the change is in force on every entry
    And no agent went back to an earlier promise
